import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Callers upload bodies of nearly the size that the configuration allows while other callers pay.
 * Breaks CONFIG if the payments that last longer than the timeout of their route get no answer.
 */
final class UploadCase {
  private static final int UPLOADERS = Integer.getInteger("uploaders", 15);
  private static final int PAYERS = 10;
  private static final long PAY_INTERVAL_MILLIS = 500;
  private static final int BODY_BYTES = 4_000_000;
  private static final int PART_BYTES = 16_384;
  private static final int LINK_BYTES_PER_SECOND = 7_000_000 / 8;
  private static final long WORK_MILLIS = 20;
  private static final long LOAD_MILLIS = 20_000;
  private static final long TIMEOUT_MILLIS = 800;
  private static final long ANSWER_SLACK_MILLIS = 500;
  private static final int MIN_UNANSWERED = 8;
  private static final String CONFIG =
      """
      {"version": 1,
       "routes": [
         {"name": "pay", "host": "review.example", "pathPrefix": "/pay/", "kind": "unsafe",
          "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": "app",
          "maxAttempts": 1},
         {"name": "upload", "host": "review.example", "pathPrefix": "/upload/", "kind": "safe",
          "timeoutMs": 17000, "targetLatencyMs": 2500, "priority": 2, "service": "app",
          "maxAttempts": 2}],
       "services": [{"name": "app", "healthPath": "/health", "maxConns": 96, "protocol": "h1",
         "tls": false}],
       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
         "idleTimeoutMs": 15000}}
      """;

  private final Scenario scenario;
  private final Set<String> ranIds = ConcurrentHashMap.newKeySet();
  private int requests;
  private int answered;
  private int overdue;
  private int unanswered;
  private int unansweredRan;
  private int uploads;
  private int uploadsAnswered;

  private UploadCase(Scenario scenario) {
    this.scenario = scenario;
  }

  public static void main(String[] args) throws Exception {
    int result = Scenario.NOT_RUN;
    try (Scenario scenario = new Scenario(Path.of(args[0]))) {
      result = new UploadCase(scenario).run();
      scenario.log("exit status " + result);
    } catch (IOException e) {
      System.err.println("not run: " + e);
    }
    System.exit(result);
  }

  private int run() throws Exception {
    scenario.store.put("op", "config", CONFIG);
    for (int i = 1; i <= 4; i++) {
      new ServerStandin(scenario.store, "i-" + i, "app", "v1", List.of(), 6, this::work);
    }
    Scenario.Gateway first = scenario.startGateway("n1");
    Scenario.Gateway second = scenario.startGateway("n2");
    scenario.awaitReady(first);
    scenario.awaitReady(second);
    Scenario.sleep(3_000);
    long untilMillis = scenario.millis() + LOAD_MILLIS;
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < PAYERS; i++) {
      int number = i;
      threads.add(new Thread(() -> pay(number, first.callerPort(), untilMillis)));
    }
    for (int i = 0; i < (Scenario.TROUBLE ? UPLOADERS : 0); i++) {
      int number = i;
      threads.add(new Thread(() -> upload(number, first.callerPort(), untilMillis)));
    }
    for (Thread thread : threads) {
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    scenario.log(
        ("payments %d, answered 200 %d, lasted over %d ms %d, of these without an answer %d ms"
                + " later %d (run by a server: %d); uploads %d, answered 200 %d")
            .formatted(
                requests, answered, TIMEOUT_MILLIS, overdue, ANSWER_SLACK_MILLIS, unanswered,
                unansweredRan, uploads, uploadsAnswered));
    if (answered == 0) {
      return Scenario.NOT_RUN;
    }
    return unanswered >= MIN_UNANSWERED && 4 * unanswered > overdue
        ? Scenario.BROKEN
        : Scenario.HELD;
  }

  private void work(HttpStandin.Request request, HttpStandin.Connection connection)
      throws IOException {
    String id = request.header("Request-Id");
    ranIds.add(id);
    Scenario.sleep(WORK_MILLIS);
    connection.respond(
        200, "Request-Id: " + id + "\r\nServer-Seal: s-" + id + "\r\n", new byte[800]);
  }

  /** Pays again and again; each request has a connection of its own. */
  private void pay(int number, int port, long untilMillis) {
    Scenario.sleep(number * PAY_INTERVAL_MILLIS / PAYERS);
    for (int i = 0; scenario.millis() < untilMillis; i++) {
      String id = "p%d-%d".formatted(number, i);
      long sentMillis = scenario.millis();
      String end;
      try (Caller caller = new Caller(port)) {
        sentMillis = scenario.millis();
        caller.socket.setSoTimeout((int) (TIMEOUT_MILLIS + 2 * ANSWER_SLACK_MILLIS));
        end =
            "status "
                + caller
                    .call(
                        "POST", "/pay/x",
                        "Request-Id: " + id + "\r\nDeadline-Ms: 1500\r\n", "payment".getBytes())
                    .status();
      } catch (IOException e) {
        end = e.toString();
      }
      long lastedMillis = scenario.millis() - sentMillis;
      count(id, end, lastedMillis);
      Scenario.sleep(Math.max(0, PAY_INTERVAL_MILLIS - lastedMillis));
    }
  }

  private synchronized void count(String id, String end, long lastedMillis) {
    requests++;
    answered += end.equals("status 200") ? 1 : 0;
    if (lastedMillis > TIMEOUT_MILLIS) {
      overdue++;
      if (lastedMillis > TIMEOUT_MILLIS + ANSWER_SLACK_MILLIS) {
        boolean ran = ranIds.contains(id);
        unanswered++;
        unansweredRan += ran ? 1 : 0;
        scenario.log(
            "%s had no answer within %d ms%s: %s"
                .formatted(
                    id, TIMEOUT_MILLIS + ANSWER_SLACK_MILLIS, ran ? ", and has run" : "", end));
      }
    }
  }

  /** Uploads bodies at the rate of a slow link, each over a connection of its own. */
  private void upload(int number, int port, long untilMillis) {
    byte[] part = new byte[PART_BYTES];
    for (int i = 0; scenario.millis() < untilMillis; i++) {
      String id = "u%d-%d".formatted(number, i);
      String end;
      try (Caller caller = new Caller(port)) {
        caller.socket.setSoTimeout(18_000);
        OutputStream out = caller.socket.getOutputStream();
        out.write(
            ("POST /upload/x HTTP/1.1\r\nHost: review.example\r\nRequest-Id: " + id
                    + "\r\nDeadline-Ms: 17000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                .getBytes());
        long startMillis = scenario.millis();
        for (int sent = 0; sent < BODY_BYTES && scenario.millis() < untilMillis; ) {
          int length = Math.min(PART_BYTES, BODY_BYTES - sent);
          out.write(part, 0, length);
          sent += length;
          long dueMillis = startMillis + 1_000L * sent / LINK_BYTES_PER_SECOND;
          Scenario.sleep(Math.max(0, dueMillis - scenario.millis()));
        }
        end = scenario.millis() < untilMillis ? "status " + caller.receive().status() : "stopped";
      } catch (IOException e) {
        end = e.toString();
      }
      synchronized (this) {
        uploads++;
        uploadsAnswered += end.equals("status 200") ? 1 : 0;
      }
      scenario.log(id + ": " + end);
    }
  }
}
