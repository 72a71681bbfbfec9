import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers read long answers over slow links while their gateway gets SIGTERM. The servers have sent
 * the whole answers, and the grace period is longer than the callers need. Breaks LOST if an answer
 * is cut.
 */
final class SlowReaderCase {
  private static final int CALLERS = 150;
  private static final int MIN_ANSWER_BYTES = 2_000_000;
  private static final int ANSWER_STEP_BYTES = 25_000;
  private static final int LINK_BYTES_PER_SECOND = 7_000_000 / 8;
  private static final int READ_BYTES = 8_192;
  private static final int WINDOW_BYTES = 65_536;
  private static final long GRACE_MILLIS = 8_000;
  private static final long TIMEOUT_MILLIS = 17_000;
  private static final long TROUBLE_MILLIS = 500;
  private static final long MAX_BEGIN_SECONDS = 10;
  private static final String CONFIG =
      """
      {"version": 1,
       "routes": [{"name": "export", "host": "review.example", "pathPrefix": "/export/",
         "kind": "safe", "timeoutMs": 17000, "targetLatencyMs": 2500, "priority": 0,
         "service": "app", "maxAttempts": 2}],
       "services": [{"name": "app", "healthPath": "/health", "maxConns": 360, "protocol": "h1",
         "tls": false}],
       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
         "idleTimeoutMs": 15000}}
      """;

  private record Exchange(String id, long sentMillis, long endedMillis, String cut) {}

  private final Scenario scenario;
  private final List<Exchange> exchanges = new ArrayList<>();
  private final AtomicInteger arrivals = new AtomicInteger();
  private final CountDownLatch begun = new CountDownLatch(CALLERS);

  private SlowReaderCase(Scenario scenario) {
    this.scenario = scenario;
  }

  public static void main(String[] args) throws Exception {
    int result = Scenario.NOT_RUN;
    try (Scenario scenario = new Scenario(Path.of(args[0]))) {
      result = new SlowReaderCase(scenario).run();
      scenario.log("exit status " + result);
    } catch (IOException e) {
      System.err.println("not run: " + e);
    }
    System.exit(result);
  }

  private int run() throws Exception {
    scenario.store.put("op", "config", CONFIG);
    for (int i = 1; i <= 4; i++) {
      new ServerStandin(scenario.store, "i-" + i, "app", "v1", List.of(), 64, this::answer);
    }
    Scenario.Gateway first = scenario.startGateway("n1");
    Scenario.Gateway second = scenario.startGateway("n2");
    scenario.awaitReady(first);
    scenario.awaitReady(second);
    Scenario.sleep(2_000);
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      String id = "c" + i;
      Thread caller = new Thread(() -> read(id, first.callerPort()));
      caller.start();
      callers.add(caller);
    }
    if (!begun.await(MAX_BEGIN_SECONDS, TimeUnit.SECONDS)) {
      scenario.log("not all answers have begun: " + begun.getCount() + " missing");
      return Scenario.NOT_RUN;
    }
    Scenario.sleep(TROUBLE_MILLIS);
    long termMillis = scenario.millis();
    if (Scenario.TROUBLE) {
      scenario.terminate(first);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    return judge(termMillis);
  }

  private void answer(HttpStandin.Request request, HttpStandin.Connection connection)
      throws IOException {
    String id = request.header("Request-Id");
    arrivals.incrementAndGet();
    scenario.log("server runs " + id);
    connection.respond(
        200, "Request-Id: " + id + "\r\nServer-Seal: seal-" + id + "\r\n",
        new byte[MIN_ANSWER_BYTES + Integer.parseInt(id.substring(1)) * ANSWER_STEP_BYTES]);
    scenario.log("server has sent the whole answer to " + id);
  }

  /** Reads an answer at the rate of a slow link. */
  private void read(String id, int port) {
    long sentMillis = scenario.millis();
    int received = 0;
    String cut = "";
    try (Caller caller = new Caller(port, WINDOW_BYTES)) {
      caller.send(
          "GET", "/export/x", "Request-Id: " + id + "\r\nDeadline-Ms: 17000\r\n", new byte[0]);
      String line = HttpStandin.readLine(caller.in);
      if (line == null || !line.contains(" 200 ")) {
        throw new IOException("answer begins with " + line);
      }
      Map<String, String> headers = HttpStandin.readHeaders(caller.in);
      scenario.log("caller: " + id + ": " + line + " " + headers);
      begun.countDown();
      int length = Integer.parseInt(headers.get("Content-Length"));
      long startMillis = scenario.millis();
      while (received < length) {
        byte[] part = caller.in.readNBytes(Math.min(READ_BYTES, length - received));
        if (part.length == 0) {
          throw new IOException("connection closed");
        }
        received += part.length;
        long dueMillis = startMillis + 1_000L * received / LINK_BYTES_PER_SECOND;
        Scenario.sleep(Math.max(0, dueMillis - scenario.millis()));
      }
    } catch (IOException e) {
      cut = e + " after " + received + " bytes";
    }
    long endedMillis = scenario.millis();
    scenario.log(
        "caller: %s %s after %d ms"
            .formatted(id, cut.isEmpty() ? "has the whole answer" : "cut: " + cut,
                endedMillis - sentMillis));
    synchronized (exchanges) {
      exchanges.add(new Exchange(id, sentMillis, endedMillis, cut));
    }
  }

  private int judge(long termMillis) {
    int lost = 0;
    for (Exchange exchange : exchanges) {
      boolean planned =
          exchange.endedMillis() >= termMillis
              && exchange.endedMillis() <= termMillis + GRACE_MILLIS + 1_000;
      boolean inTime = exchange.endedMillis() - exchange.sentMillis() < TIMEOUT_MILLIS;
      if (!exchange.cut().isEmpty() && planned && inTime) {
        lost++;
        scenario.log(
            "LOST: %s, cut %d ms after SIGTERM: %s"
                .formatted(exchange.id(), exchange.endedMillis() - termMillis, exchange.cut()));
      }
    }
    scenario.log("requests " + exchanges.size() + ", lost " + lost);
    if (arrivals.get() < CALLERS) {
      return Scenario.NOT_RUN;
    }
    return lost > 0 ? Scenario.BROKEN : Scenario.HELD;
  }
}
