import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Small stand-ins for the platform's store, servers and the operator, and gateway processes. */
final class Stand implements AutoCloseable {
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  static final String HOST = "shop.example";

  final Path folder;
  final Path record;
  final Store store;
  final List<Gateway> gateways = new ArrayList<>();
  private final List<String> lines = new ArrayList<>();
  private final List<Socket> reserved = new ArrayList<>();
  private final long startNanos = System.nanoTime();

  Stand(Path caseFolder) throws IOException {
    folder = Files.createTempDirectory("nutmegseam-review");
    record = caseFolder.resolve("record.txt");
    store = new Store();
  }

  /** Returns the time since the start of the run, in milliseconds. */
  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  void log(String format, Object... arguments) {
    String line = String.format("%7.3f  ", now() / 1000.0) + String.format(format, arguments);
    synchronized (lines) {
      lines.add(line);
    }
  }

  void say(String format, Object... arguments) {
    log(format, arguments);
    System.out.printf(format + "%n", arguments);
  }

  /** Reserves two neighbouring ports by sockets that do not listen. */
  int reservePort() {
    while (true) {
      try {
        int port = bind(0);
        bind(port + 1);
        return port;
      } catch (IOException | IllegalArgumentException e) {
        // The next port is taken.
      }
    }
  }

  private int bind(int port) throws IOException {
    Socket socket = new Socket();
    reserved.add(socket);
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(LOOPBACK, port));
    return socket.getLocalPort();
  }

  @Override
  public void close() throws IOException, InterruptedException {
    for (Gateway gateway : gateways) {
      gateway.kill();
    }
    store.close();
    for (Socket socket : reserved) {
      socket.close();
    }
    synchronized (lines) {
      Files.write(record, lines);
    }
    File[] files = folder.toFile().listFiles();
    for (File file : files == null ? new File[0] : files) {
      Files.delete(file.toPath());
    }
    Files.delete(folder);
  }

  /** A gateway process, started with the command of the deploy file. */
  final class Gateway {
    final String node;
    final int callerPort = reservePort();
    final int readyPort = reservePort();
    final int peerPort = reservePort();
    final int metricsPort = reservePort();
    final Path settings;
    final Path log;
    Process process;

    Gateway(String node, String zone, int storePort, String more) throws IOException {
      this.node = node;
      settings = folder.resolve(node + ".jsonc");
      log = folder.resolve(node + ".log");
      Files.writeString(
          settings,
          """
          {"node": "%s", "dataCentre": "%s", "callerAddress": "127.0.0.1:%d",
           "readyAddress": "127.0.0.1:%d", "peerAddress": "127.0.0.1:%d",
           "metricsAddress": "127.0.0.1:%d", "storeAddress": "127.0.0.1:%d", "graceSeconds": 8,
           "orderQuietMillis": 3000, "retryRatio": 0.2, "retrySlack": 52,
           "retryWindowSeconds": 10, "loadWindowSeconds": 5, "processorShare": 0.75,
           "processorSpeed": 1%s}
          """
              .formatted(
                  node, zone, callerPort, readyPort, peerPort, metricsPort, storePort, more));
      gateways.add(this);
    }

    void start() throws IOException {
      Matcher run =
          Pattern.compile("(?m)^run = \"(.*)\"$")
              .matcher(Files.readString(Path.of("deploy/system.toml")));
      if (!run.find()) {
        throw new IOException("deploy/system.toml has no command of a gateway");
      }
      ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" +", -1));
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      builder.environment().put("NUTMEGSEAM_CONFIG", settings.toString());
      process = builder.start();
      Process started = process;
      Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    void awaitReady(long timeoutMillis) throws IOException, InterruptedException {
      long until = now() + timeoutMillis;
      while (!isReady()) {
        if (now() > until || !process.isAlive()) {
          throw new IOException(node + " is not ready: " + Files.readString(log));
        }
        Thread.sleep(50);
      }
    }

    boolean isReady() {
      try (Connection connection = new Connection(readyPort)) {
        connection.socket.setSoTimeout(900);
        connection.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        return connection.readResponse().status == 200;
      } catch (IOException e) {
        return false;
      }
    }

    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
      if (process != null) {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
      }
    }
  }

  /** A message of HTTP/1.1. */
  static final class Message {
    String first = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = {};
    int status;

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }

    String method() {
      return first.split(" ", -1)[0];
    }

    String target() {
      return first.split(" ", -1)[1];
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** A client's connection. */
  static final class Connection implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Connection(int port) throws IOException {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
      in = new BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }

    void send(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    Message readResponse() throws IOException {
      Message message = readHead(in);
      message.status = Integer.parseInt(message.first.split(" ", -1)[1]);
      readBody(in, message);
      return message;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b;
    while ((b = in.read()) != '\n') {
      if (b < 0) {
        throw new EOFException("end of connection");
      }
      line.write(b);
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }

  static Message readHead(InputStream in) throws IOException {
    Message message = new Message();
    message.first = readLine(in);
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
    }
    return message;
  }

  static void readBody(InputStream in, Message message) throws IOException {
    if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(readLine(in).split(";", -1)[0].trim(), 16);
        if (size == 0) {
          while (!readLine(in).isEmpty()) {
            // Trailers are ignored.
          }
          break;
        }
        body.write(readFully(in, size));
        readLine(in);
      }
      message.body = body.toByteArray();
    } else if (!message.header("content-length").isEmpty()) {
      message.body = readFully(in, Integer.parseInt(message.header("content-length")));
    }
  }

  private static byte[] readFully(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("body ends after " + bytes.length + " of " + size + " bytes");
    }
    return bytes;
  }

  /** Listens and handles each connection on a thread of its own. */
  abstract static class Listener implements AutoCloseable {
    final ServerSocket listener;
    final List<Socket> sockets = new CopyOnWriteArrayList<>();
    volatile boolean closed;

    Listener() throws IOException {
      this(0);
    }

    /** Listens at a port, or at any free one if that is 0. */
    Listener(int port) throws IOException {
      listener = new ServerSocket(port, 1_024, LOOPBACK);
      daemon(
          () -> {
            while (!closed) {
              Socket socket = listener.accept();
              socket.setTcpNoDelay(true);
              sockets.add(socket);
              daemon(
                  () -> {
                    try (socket) {
                      serve(socket);
                    } finally {
                      sockets.remove(socket);
                    }
                  });
            }
          });
    }

    abstract void serve(Socket socket) throws Exception;

    int port() {
      return listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      closed = true;
      listener.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** A task that may fail with the end of a connection. */
  interface Task {
    void run() throws Exception;
  }

  static Thread daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The connection has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void respond(OutputStream out, int status, String headers, byte[] body)
      throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(
        ("HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    bytes.write(body);
    out.write(bytes.toByteArray());
    out.flush();
  }

  /** The platform's store: tables with one counter of versions, and a history. */
  static final class Store extends Listener {
    private record Row(String value, long version, boolean removed) {}

    private final Map<String, TreeMap<String, Row>> tables = new LinkedHashMap<>();
    private long version = 10;

    /** Whether the store answers all calls with 503, so that nothing is done. */
    volatile boolean down;

    Store() throws IOException {
      super();
    }

    synchronized long put(String table, String key, String value) {
      tables
          .computeIfAbsent(table, t -> new TreeMap<>())
          .put(key, new Row(encode(value), ++version, false));
      notifyAll();
      return version;
    }

    synchronized void remove(String table, String key) {
      tables.get(table).put(key, new Row("", ++version, true));
      notifyAll();
    }

    synchronized String value(String table, String key) {
      Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
      return row == null || row.removed()
          ? ""
          : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    private static String encode(String text) {
      return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    void serve(Socket socket) throws Exception {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Message request = readHead(in);
        readBody(in, request);
        String target = request.target();
        Map<String, String> query = query(target);
        int[] status = {200};
        String body;
        if (down) {
          status[0] = 503;
          body = "{}";
        } else if (target.startsWith("/v1/rows-get")) {
          body = get(query);
        } else if (target.startsWith("/v1/rows-feed")) {
          body = feed(query);
        } else if (target.startsWith("/v1/rows-tx")) {
          body = write(request.text(), status);
        } else {
          status[0] = 404;
          body = "{}";
        }
        Thread.sleep(4);
        respond(
            socket.getOutputStream(),
            status[0],
            "Content-Type: application/json\r\n",
            body.getBytes(StandardCharsets.UTF_8));
      }
    }

    private static Map<String, String> query(String target) {
      Map<String, String> query = new LinkedHashMap<>();
      int mark = target.indexOf('?');
      if (mark >= 0) {
        for (String pair : target.substring(mark + 1).split("&", -1)) {
          int equals = pair.indexOf('=');
          query.put(
              pair.substring(0, equals),
              java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
      return query;
    }

    private static String text(String table, String key, Row row) {
      return """
      {"table":"%s","part":"","key":"%s","value":"%s","ver":%d%s}"""
          .formatted(
              table, key, row.value(), row.version(), row.removed() ? ",\"tombstone\":true" : "");
    }

    private String answer(List<String> rows) {
      return "{\"rows\":["
          + String.join(",", rows)
          + "],\"hasMore\":false,\"ver\":"
          + version
          + ",\"nowMs\":"
          + System.nanoTime() / 1_000_000
          + "}";
    }

    private synchronized String get(Map<String, String> query) {
      String table = query.get("table");
      List<String> rows = new ArrayList<>();
      tables
          .getOrDefault(table, new TreeMap<>())
          .forEach(
              (key, row) -> {
                boolean inside =
                    key.compareTo(query.getOrDefault("from", "")) >= 0
                        && (!query.containsKey("to") || key.compareTo(query.get("to")) < 0);
                if (inside && !row.removed()) {
                  rows.add(text(table, key, row));
                }
              });
      return answer(rows);
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
      String table = query.get("table");
      long after = Long.parseLong(query.get("after"));
      long until = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("waitMs"));
      while (true) {
        List<Map.Entry<String, Row>> changed =
            tables.getOrDefault(table, new TreeMap<>()).entrySet().stream()
                .filter(entry -> entry.getValue().version() > after)
                .sorted(
                    (a, b) -> Long.compare(a.getValue().version(), b.getValue().version()))
                .toList();
        long left = down ? 0 : until - System.nanoTime() / 1_000_000;
        if (!changed.isEmpty() || left <= 0) {
          return answer(
              changed.stream().map(e -> text(table, e.getKey(), e.getValue())).toList());
        }
        wait(left);
      }
    }

    private static final Pattern EXPECTED =
        Pattern.compile(
            "\"expected\":\\[\\{\"table\":\"([^\"]*)\",\"part\":\"\",\"key\":\"([^\"]*)\",\"ver\":(\\d+)");
    private static final Pattern SET =
        Pattern.compile(
            "\"setKeys\":\\[\\{\"table\":\"([^\"]*)\",\"part\":\"\",\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"");

    private synchronized String write(String body, int[] status) {
      Matcher expected = EXPECTED.matcher(body);
      Matcher set = SET.matcher(body);
      if (!expected.find() || !set.find()) {
        status[0] = 400;
        return "{}";
      }
      Row row = tables.getOrDefault(expected.group(1), new TreeMap<>()).get(expected.group(2));
      long current = row == null || row.removed() ? 0 : row.version();
      if (current != Long.parseLong(expected.group(3))) {
        status[0] = 412;
        return answer(
            current == 0 ? List.of() : List.of(text(expected.group(1), expected.group(2), row)));
      }
      tables
          .computeIfAbsent(set.group(1), t -> new TreeMap<>())
          .put(set.group(2), new Row(set.group(3), ++version, false));
      notifyAll();
      return answer(List.of());
    }
  }

  /** A server of a service. */
  abstract static class Server extends Listener {
    final String id;
    final String service;
    final long born = System.currentTimeMillis();
    volatile boolean draining;
    volatile boolean unlisted;

    Server(String id, String service) throws IOException {
      this(id, service, 0);
    }

    Server(String id, String service, int port) throws IOException {
      super(port);
      this.id = id;
      this.service = service;
    }

    String entry(int sequence) {
      return """
      {"service":"%s","address":"127.0.0.1:%d","zone":"z-a","version":"v1","slots":64,\
      "state":"%s","coldLeftMs":0,"seq":%d,"born":%d}"""
          .formatted(service, port(), draining ? "draining" : "ready", sequence, born);
    }

    /** Handles a request; its body has not been read yet. */
    abstract void handle(Message request, InputStream in, Socket socket) throws Exception;

    @Override
    void serve(Socket socket) throws Exception {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      while (true) {
        Message request = readHead(in);
        String expected = request.header("expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          readBody(in, request);
          respond(socket.getOutputStream(), 421, "Instance-Id: " + id + "\r\n", new byte[0]);
        } else if (request.target().equals("/health")) {
          int status = draining ? 503 : 200;
          respond(
              socket.getOutputStream(), status, "Instance-Id: " + id + "\r\n", new byte[0]);
        } else {
          handle(request, in, socket);
        }
      }
    }
  }

  /** Writes the entries of servers as often as the platform says. */
  void beat(List<? extends Server> servers) {
    int[] sequence = {1};
    daemon(
        () -> {
          while (true) {
            for (Server server : servers) {
              synchronized (server) {
                if (!server.closed && !server.unlisted && !store.down) {
                  store.put("servers", server.id, server.entry(sequence[0]));
                }
              }
            }
            sequence[0]++;
            Thread.sleep(1_200);
          }
        });
  }

  static String route(String path, String kind, long timeoutMillis, int attempts, String service) {
    return """
    {"name":"r-%1$s","host":"%2$s","pathPrefix":"/%1$s/","kind":"%3$s","timeoutMs":%4$d,\
    "targetLatencyMs":400,"gapTargetMs":400,"priority":0,"service":"%6$s","maxAttempts":%5$d}"""
        .formatted(path, HOST, kind, timeoutMillis, attempts, service);
  }

  static String config(int version, List<String> routes, List<String> services) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + String.join(",", routes)
        + "],\"services\":["
        + String.join(
            ",",
            services.stream()
                .map(
                    name ->
                        "{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false}"
                            .formatted(name))
                .toList())
        + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  }
}
