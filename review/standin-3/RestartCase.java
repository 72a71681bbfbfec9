import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The last server of an old software version crashes near the end of a release, and starts again
 * under its id with the new version. Callers take up their streams again. ORDER holds if no more
 * than two streams hold events of both versions.
 */
public final class RestartCase {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int EVENTS = 30;
  private static final long CHECK_IN_MILLIS = 1_200;
  private static final long CALM_MILLIS = 6_000;
  private static final long DOWN_MILLIS = 2_000;

  /** A server checks in about every 1,200 ms; the first check-in comes that long after its start. */
  private static final long FIRST_CHECK_IN_MILLIS = 1_000;

  private static final long DEADLINE_MILLIS = 15_000;
  private static final int SERVERS = 6;
  private static final int CALLERS = 60;
  private static final int MAX_TRIES = 4;
  private static final long RETRY_MILLIS = 400;
  private static final int MAX_MIXED_STREAMS = 2;

  private final Record record;
  private final StoreStandin store;
  private final List<Server> servers = new ArrayList<>();
  private final AtomicInteger last = new AtomicInteger();
  private final AtomicInteger complete = new AtomicInteger();
  private final AtomicInteger takenUp = new AtomicInteger();
  private final List<String> mixed = new CopyOnWriteArrayList<>();

  /** A server process and what it tells the store. */
  private static final class Server {
    private final String id;
    private String version;
    private Process process;
    private int port;
    private long bornMillis;
    private boolean checksIn;
    private int checkIns;

    private Server(String id) {
      this.id = id;
    }
  }

  private RestartCase(Record record) throws IOException {
    this.record = record;
    this.store = new StoreStandin();
  }

  /** Arguments: root of the repository, folder of the case, whether there is trouble. */
  public static void main(String[] args) throws Exception {
    int status = 2;
    Path folder = Files.createTempDirectory("nutmegseam-review");
    try (Record record = new Record(Path.of(args[1]).resolve("record.txt"))) {
      try {
        status = new RestartCase(record).run(Path.of(args[0]), folder, args[2].equals("1"));
      } catch (Exception e) {
        record.add("the case could not run: " + e);
      }
      record.add("exit status " + status);
    }
    System.out.println("exit status " + status);
    System.exit(status);
  }

  private int run(Path root, Path folder, boolean trouble) throws Exception {
    store.put("op", "config", config());
    for (int i = 0; i < SERVERS; i++) {
      Server server = new Server("i-" + i);
      servers.add(server);
      start(server, i == 0 ? "v1" : "v2", 0, folder);
      server.checksIn = true;
    }
    daemon(this::checkInRegularly);
    try (Gateways gateways = new Gateways(root, folder, store.port())) {
      gateways.start("n1", "dc-a");
      gateways.start("n2", "dc-a");
      if (!gateways.awaitReady()) {
        record.add("the gateways are not ready");
        return 2;
      }
      Thread.sleep(4_000);
      AtomicBoolean ended = new AtomicBoolean();
      for (int i = 0; i < CALLERS; i++) {
        int caller = i;
        daemon(
            () -> {
              sleep(caller * 100L);
              while (!ended.get()) {
                read(gateways, caller % 2);
                sleep(100);
              }
            });
      }
      Thread.sleep(CALM_MILLIS);
      if (trouble) {
        crash(servers.get(0), folder);
      }
      Thread.sleep(4_000);
      ended.set(true);
      Thread.sleep(EVENTS * 200L + 4_000);
      record.add(
          "%d streams complete, %d of them taken up again, %d with events of both versions"
              .formatted(complete.get(), takenUp.get(), mixed.size()));
      mixed.forEach(text -> record.add("events of two versions: " + text));
      return complete.get() == 0 ? 2 : mixed.size() > MAX_MIXED_STREAMS ? 1 : 0;
    } finally {
      for (Server server : servers) {
        server.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
      }
    }
  }

  private void start(Server server, String version, int port, Path folder) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            "java", "-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp",
            System.getProperty("java.class.path"), "VersionServer", server.id, version, "" + port);
    builder.redirectError(folder.resolve(server.id + ".log").toFile());
    Process process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    BufferedReader out =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.ISO_8859_1));
    int listens = Integer.parseInt(out.readLine());
    synchronized (server) {
      server.process = process;
      server.port = listens;
      server.version = version;
      server.bornMillis = System.currentTimeMillis();
    }
  }

  private void crash(Server server, Path folder) throws Exception {
    record.add("trouble: server %s crashes (SIGKILL)".formatted(server.id));
    synchronized (server) {
      server.checksIn = false;
    }
    server.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    sleep(DOWN_MILLIS);
    start(server, "v2", server.port, folder);
    record.add("server %s listens again, with software version v2".formatted(server.id));
    sleep(FIRST_CHECK_IN_MILLIS);
    synchronized (server) {
      server.checksIn = true;
      checkIn(server);
    }
    record.add("server %s has checked in".formatted(server.id));
  }

  private void checkInRegularly() {
    while (true) {
      for (Server server : servers) {
        synchronized (server) {
          checkIn(server);
        }
      }
      sleep(CHECK_IN_MILLIS);
    }
  }

  private void checkIn(Server server) {
    if (server.checksIn) {
      ObjectNode entry =
          JSON.createObjectNode()
              .put("service", "llm")
              .put("address", "127.0.0.1:" + server.port)
              .put("zone", "dc-a")
              .put("version", server.version)
              .put("slots", 32)
              .put("state", "ready")
              .put("coldLeftMs", 0)
              .put("seq", ++server.checkIns)
              .put("born", server.bornMillis);
      store.put("servers", server.id, entry.toString());
    }
  }

  /** Reads a stream, and takes it up again at the other gateway if its channel breaks. */
  private void read(Gateways gateways, int first) {
    long untilNanos = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
    String firstRequest = "";
    Set<String> versions = new TreeSet<>();
    StringBuilder tries = new StringBuilder();
    int events = 0;
    for (int i = 0; i < MAX_TRIES && events < EVENTS; i++) {
      long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
      if (leftMillis < 500) {
        break;
      }
      String request = String.format("%016x", 0x4d00_0000_0000_0000L + last.incrementAndGet());
      int port = gateways.all().get((first + i) % 2).callerPort;
      String resumed =
          events == 0 ? "" : "Last-Event-Id: " + events + "\r\nResumes: " + firstRequest + "\r\n";
      record.add("request %s sent to port %d, after event %d".formatted(request, port, events));
      int before = events;
      int status = 0;
      double retrySeconds = 0;
      String seal = "";
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        socket.setSoTimeout((int) leftMillis);
        socket
            .getOutputStream()
            .write(
                Wire.bytes(
                    "POST /hint/x/" + EVENTS + " HTTP/1.1\r\nHost: review.example\r\nRequest-Id: "
                        + request + "\r\nDeadline-Ms: " + leftMillis + "\r\n" + resumed
                        + "Content-Length: 2\r\n\r\n{}"));
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        Wire.Head head = Wire.readHead(in);
        if (head == null) {
          throw new IOException("closed without an answer");
        }
        status = head.status();
        seal = head.header("Server-Seal");
        if (status != 200) {
          Wire.readBody(in, head);
          String after = head.header("Retry-After");
          retrySeconds = after.isEmpty() ? 0 : Double.parseDouble(after);
        } else {
          firstRequest = firstRequest.isEmpty() ? request : firstRequest;
          for (byte[] chunk = Wire.readChunk(in); chunk.length > 0; chunk = Wire.readChunk(in)) {
            String text = new String(chunk, StandardCharsets.ISO_8859_1);
            for (String line : text.split("\n", -1)) {
              if (line.startsWith("data: ")) {
                events++;
                versions.add(line.substring(6, 8));
              }
            }
          }
        }
      } catch (IOException e) {
        record.add("request %s: %s".formatted(request, e.getMessage()));
      }
      String end =
          "%s: status %d, run %s, events %d to %d".formatted(request, status, seal, before + 1, events);
      record.add("request " + end);
      tries.append(tries.length() == 0 ? "" : "; ").append(end);
      if (events < EVENTS) {
        double third = (untilNanos - System.nanoTime()) / 3e9;
        sleep(Math.max(RETRY_MILLIS, (long) (1_000 * Math.min(third, retrySeconds))));
      } else if (i > 0) {
        takenUp.incrementAndGet();
      }
    }
    if (events == EVENTS) {
      complete.incrementAndGet();
    }
    if (versions.size() > 1) {
      mixed.add(tries.toString());
    }
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String config() {
    return """
    {"version": 7,
     "routes": [{"name": "hint", "host": "review.example", "pathPrefix": "/hint/",
       "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 2500, "gapTargetMs": 400,
       "priority": 1, "maxAttempts": 2, "resumable": true, "service": "llm"}],
     "services": [{"name": "llm", "healthPath": "/health", "maxConns": 250, "protocol": "h1",
       "tls": false}],
     "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
       "idleTimeoutMs": 15000}}
    """;
  }
}
