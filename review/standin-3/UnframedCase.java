import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sound servers whose answers end with their channels, and that close idle channels; a gateway is
 * stopped with SIGTERM. LOST holds if each request that the gateway took, and that a server has
 * answered to the end, gets its complete answer.
 */
public final class UnframedCase {
  private static final int IDLE_MILLIS = 2_000;
  private static final int SERVERS = 3;
  private static final long CALM_MILLIS = 8_000;
  private static final long STABLE_MILLIS = 3_000;
  private static final long GRACE_MILLIS = 8_000;

  /** The balancer sends new channels until two of its questions, a second apart, have failed. */
  private static final long BALANCER_MILLIS = 2_000;

  private static final long REQUEST_INTERVAL_MILLIS = 25;
  private static final long DEADLINE_MILLIS = 4_000;

  private final Record record;
  private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();
  private final AtomicInteger last = new AtomicInteger();

  /** A request, when it was sent and ended, and whether its answer was complete. */
  private record Outcome(
      String request, String path, long sentNanos, long endNanos, boolean complete, String text) {}

  private UnframedCase(Record record) {
    this.record = record;
  }

  /** Arguments: root of the repository, folder of the case, whether there is trouble. */
  public static void main(String[] args) throws Exception {
    int status = 2;
    Path folder = Files.createTempDirectory("nutmegseam-review");
    try (Record record = new Record(Path.of(args[1]).resolve("record.txt"))) {
      try {
        status = new UnframedCase(record).run(Path.of(args[0]), folder, args[2].equals("1"));
      } catch (Exception e) {
        record.add("the case could not run: " + e);
      }
      record.add("exit status " + status);
    }
    System.out.println("exit status " + status);
    System.exit(status);
  }

  private int run(Path root, Path folder, boolean trouble) throws Exception {
    StoreStandin store = new StoreStandin();
    store.put("op", "config", config());
    List<UnframedServer> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(new UnframedServer("i-" + i, "app", IDLE_MILLIS, store, record));
    }
    try (Gateways gateways = new Gateways(root, folder, store.port())) {
      Gateways.Gateway stopped = gateways.start("n1", "dc-a");
      gateways.start("n2", "dc-a");
      if (!gateways.awaitReady()) {
        record.add("the gateways are not ready");
        return 2;
      }
      Thread.sleep(STABLE_MILLIS);
      long stopNanos = System.nanoTime() + CALM_MILLIS * 1_000_000;
      long endNanos = stopNanos + BALANCER_MILLIS * 1_000_000;
      boolean signalled = false;
      while (System.nanoTime() < endNanos) {
        if (trouble && !signalled && System.nanoTime() >= stopNanos) {
          record.add("trouble: SIGTERM of " + stopped.name);
          stopped.signal("-TERM");
          stopNanos = System.nanoTime();
          signalled = true;
        }
        send(stopped.callerPort);
        Thread.sleep(REQUEST_INTERVAL_MILLIS);
      }
      if (trouble && !stopped.awaitExit(GRACE_MILLIS / 1_000 + 2)) {
        record.add("the gateway has not ended");
      }
      Thread.sleep(DEADLINE_MILLIS + 500);
      return judge(servers, stopNanos, trouble);
    }
  }

  /** Counts the answers that were cut although a server has answered to the end. */
  private int judge(List<UnframedServer> servers, long stopNanos, boolean trouble) {
    int cutInStop = 0;
    int cutBefore = 0;
    int complete = 0;
    for (Outcome outcome : outcomes) {
      if (outcome.complete()) {
        complete++;
      } else if (servers.stream().anyMatch(server -> server.hasAnswered(outcome.request()))) {
        boolean inStop =
            trouble
                && outcome.endNanos() >= stopNanos
                && outcome.endNanos() <= stopNanos + (GRACE_MILLIS + 1_000) * 1_000_000;
        cutInStop += inStop ? 1 : 0;
        cutBefore += inStop ? 0 : 1;
        record.add(
            "%s: request %s (%s): %s"
                .formatted(
                    inStop ? "LOST broken" : "cut outside of planned work",
                    outcome.request(),
                    outcome.path(),
                    outcome.text()));
      }
    }
    record.add(
        "%d requests, %d with a complete answer, %d cut during the stop and %d at other times although a server had answered to the end"
            .formatted(outcomes.size(), complete, cutInStop, cutBefore));
    return complete == 0 ? 2 : cutInStop > 0 ? 1 : 0;
  }

  /** Sends an order, and every second time a stream, on a channel of its own. */
  private void send(int port) {
    int number = last.incrementAndGet();
    String request = String.format("%016x", 0x7b00_0000_0000_0000L + number);
    String path = number % 2 == 0 ? "/chat/x/1500" : "/order/x/60";
    Thread caller = new Thread(() -> outcomes.add(call(port, request, path)));
    caller.setDaemon(true);
    caller.start();
  }

  private Outcome call(int port, String request, String path) {
    long sentNanos = System.nanoTime();
    boolean complete = false;
    String text;
    record.add("request %s (%s) sent to port %d".formatted(request, path, port));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout((int) DEADLINE_MILLIS + 500);
      socket
          .getOutputStream()
          .write(
              Wire.bytes(
                  "POST " + path + " HTTP/1.1\r\nHost: review.example\r\nRequest-Id: " + request
                      + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nContent-Length: 2\r\n\r\n{}"));
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      Wire.Head head = Wire.readHead(in);
      if (head == null) {
        text = "closed without an answer";
      } else {
        text = head.status() + ", cut";
        int bytes = Wire.readBody(in, head).length;
        text = head.status() + ", whole, " + bytes + " bytes";
        complete = true;
      }
    } catch (IOException e) {
      text = "no complete answer: " + e.getMessage();
    }
    record.add("request %s ends: %s".formatted(request, text));
    return new Outcome(request, path, sentNanos, System.nanoTime(), complete, text);
  }

  private static String config() {
    return """
    {"version": 7,
     "routes": [{"name": "chat", "host": "review.example", "pathPrefix": "/chat/",
       "kind": "streaming", "timeoutMs": 4000, "targetLatencyMs": 400, "gapTargetMs": 400,
       "priority": 1, "maxAttempts": 1, "resumable": false, "service": "app"},
       {"name": "order", "host": "review.example", "pathPrefix": "/order/", "kind": "unsafe",
       "timeoutMs": 4000, "targetLatencyMs": 386, "priority": 2, "maxAttempts": 1,
       "service": "app"}],
     "services": [{"name": "app", "healthPath": "/health", "maxConns": 360, "protocol": "h1",
       "tls": false}],
     "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
       "idleTimeoutMs": 15000}}
    """;
  }
}
