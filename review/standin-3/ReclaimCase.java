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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server of streams without length is taken away at short notice: it reports that it drains,
 * serves for the time that a draining server serves, then finishes what it runs, and is gone when
 * its time is over. ORDER holds if no stream ends as complete before its last event.
 */
public final class ReclaimCase {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SERVERS = 7;
  private static final int EVENTS = 45;
  private static final long CHECK_IN_MILLIS = 1_200;
  private static final long CALM_MILLIS = 12_000;

  /** A draining server serves for drainMs (2,000) and a little longer. */
  private static final long SERVING_MILLIS = 2_100;

  private static final long NOTICE_MILLIS = 2_500;
  private static final long DEADLINE_MILLIS = 15_000;
  private static final int CALLERS = 42;

  private final Record record;
  private final StoreStandin store;
  private final List<Server> servers = new ArrayList<>();
  private final AtomicInteger last = new AtomicInteger();
  private final AtomicInteger complete = new AtomicInteger();
  private final AtomicInteger cut = new AtomicInteger();
  private final List<String> broken = new CopyOnWriteArrayList<>();

  /** A server process and what it tells the store. */
  private static final class Server {
    private final String id;
    private final Process process;
    private final int port;
    private final long bornMillis = System.currentTimeMillis();
    private String state = "ready";
    private long remainingMillis;
    private int checkIns;

    private Server(String id, Process process, int port) {
      this.id = id;
      this.process = process;
      this.port = port;
    }

    private void tell(String line) throws IOException {
      process.getOutputStream().write(Wire.bytes(line + "\n"));
      process.getOutputStream().flush();
    }
  }

  private ReclaimCase(Record record) throws IOException {
    this.record = record;
    this.store = new StoreStandin();
  }

  /** Arguments: root of the repository, folder of the case, whether there is trouble. */
  public static void main(String[] args) throws Exception {
    int status = 2;
    Path folder = Files.createTempDirectory("nutmegseam-review");
    try (Record record = new Record(Path.of(args[1]).resolve("record.txt"))) {
      try {
        status = new ReclaimCase(record).run(Path.of(args[0]), folder, args[2].equals("1"));
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
      servers.add(start("i-" + i, folder));
    }
    daemon(this::checkInRegularly);
    try (Gateways gateways = new Gateways(root, folder, store.port())) {
      gateways.start("n1", "dc-a");
      gateways.start("n2", "dc-a");
      if (!gateways.awaitReady()) {
        record.add("the gateways are not ready");
        return 2;
      }
      Thread.sleep(1_000);
      AtomicBoolean ended = new AtomicBoolean();
      for (int i = 0; i < CALLERS; i++) {
        int caller = i;
        int port = gateways.all().get(i % 2).callerPort;
        daemon(
            () -> {
              sleep(caller * 215L);
              while (!ended.get()) {
                call(port);
                sleep(100);
              }
            });
      }
      Thread.sleep(CALM_MILLIS);
      if (trouble) {
        reclaim(servers.get(0));
      }
      Thread.sleep(3_000);
      ended.set(true);
      // The streams in progress end before the gateways do.
      Thread.sleep(EVENTS * 200L + 1_500);
      int wholeBefore = complete.get();
      record.add(
          "%d streams complete, %d cut, %d complete before their last event"
              .formatted(wholeBefore, cut.get(), broken.size()));
      broken.forEach(text -> record.add("ORDER broken: " + text));
      return wholeBefore == 0 ? 2 : broken.isEmpty() ? 0 : 1;
    } finally {
      for (Server server : servers) {
        server.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
      }
    }
  }

  private Server start(String id, Path folder) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            "java", "-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp",
            System.getProperty("java.class.path"), "StreamServer", id);
    builder.redirectError(folder.resolve(id + ".log").toFile());
    Process process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    BufferedReader out =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.ISO_8859_1));
    return new Server(id, process, Integer.parseInt(out.readLine()));
  }

  private void reclaim(Server server) throws Exception {
    record.add(
        "trouble: server %s reports draining with remainingMs %d".formatted(server.id, NOTICE_MILLIS));
    long noticeNanos = System.nanoTime();
    server.tell("LEAVE");
    synchronized (server) {
      server.state = "draining";
      server.remainingMillis = NOTICE_MILLIS;
      checkIn(server);
    }
    sleepUntil(noticeNanos, SERVING_MILLIS);
    record.add(
        "server %s has served for drainMs and 0.1 s; it stops listening, closes its idle channels and finishes what it runs"
            .formatted(server.id));
    server.tell("CLOSE");
    sleepUntil(noticeNanos, NOTICE_MILLIS);
    server.process.destroyForcibly();
    synchronized (server) {
      server.state = "";
    }
    store.remove("servers", server.id);
    record.add("the time of server %s is over, it is gone (SIGKILL)".formatted(server.id));
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
    if (server.state.isEmpty()) {
      return;
    }
    ObjectNode entry =
        JSON.createObjectNode()
            .put("service", "llm")
            .put("address", "127.0.0.1:" + server.port)
            .put("zone", "dc-a")
            .put("version", "v1")
            .put("slots", 32)
            .put("state", server.state)
            .put("coldLeftMs", 0)
            .put("seq", ++server.checkIns)
            .put("born", server.bornMillis);
    if (server.remainingMillis > 0) {
      entry.put("remainingMs", server.remainingMillis);
    }
    store.put("servers", server.id, entry.toString());
  }

  private void call(int port) {
    String request = String.format("%016x", 0x3c00_0000_0000_0000L + last.incrementAndGet());
    record.add("request %s sent to port %d".formatted(request, port));
    String text;
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout((int) DEADLINE_MILLIS);
      socket
          .getOutputStream()
          .write(
              Wire.bytes(
                  "POST /plan/x/" + EVENTS + " HTTP/1.1\r\nHost: review.example\r\nRequest-Id: "
                      + request + "\r\nDeadline-Ms: " + DEADLINE_MILLIS
                      + "\r\nContent-Length: 2\r\n\r\n{}"));
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      Wire.Head head = Wire.readHead(in);
      if (head == null) {
        throw new IOException("closed without an answer");
      }
      String body = new String(Wire.readBody(in, head), StandardCharsets.ISO_8859_1);
      int events = body.split("\n\n", -1).length - 1;
      text =
          "%d of run %s, ended as complete with %d of %d events"
              .formatted(head.status(), head.header("Server-Seal"), events, EVENTS);
      if (head.status() == 200 && events < EVENTS) {
        broken.add("request %s: %s".formatted(request, text));
      } else if (head.status() == 200) {
        complete.incrementAndGet();
      }
    } catch (IOException e) {
      cut.incrementAndGet();
      text = "cut: " + e.getMessage();
    }
    record.add("request %s ends: %s".formatted(request, text));
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private static void sleepUntil(long startNanos, long afterMillis) {
    sleep(Math.max(0, afterMillis - (System.nanoTime() - startNanos) / 1_000_000));
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
     "routes": [{"name": "plan", "host": "review.example", "pathPrefix": "/plan/",
       "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 2500, "gapTargetMs": 400,
       "priority": 0, "maxAttempts": 1, "resumable": false, "service": "llm"}],
     "services": [{"name": "llm", "healthPath": "/health", "maxConns": 250, "protocol": "h1",
       "tls": false}],
     "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
       "idleTimeoutMs": 15000}}
    """;
  }
}
