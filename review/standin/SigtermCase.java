import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Callers with kept connections read one stream after the other while their gateway gets SIGTERM.
 * Breaks LOST if a request that was sent later than 3 s after SIGTERM, and that a server had
 * received, ends without a complete answer.
 */
final class SigtermCase {
  private static final int CALLERS = 8;
  private static final int EVENTS = 18;
  private static final long EVENT_MILLIS = 250;
  private static final long GRACE_MILLIS = 8_000;
  private static final long EXCUSED_SENT_MILLIS = 3_000;
  private static final long TIMEOUT_MILLIS = 17_000;
  private static final long TROUBLE_MILLIS = 5_000;
  private static final String CONFIG =
      """
      {"version": 1,
       "routes": [{"name": "notes", "host": "review.example", "pathPrefix": "/notes/",
         "kind": "streaming", "timeoutMs": 17000, "targetLatencyMs": 2500, "priority": 0,
         "service": "llm", "maxAttempts": 1, "sticky": true, "resumable": false,
         "gapTargetMs": 400}],
       "services": [{"name": "llm", "healthPath": "/health", "maxConns": 360, "protocol": "h1",
         "tls": false, "engine": {"slots": 64, "kvCapacity": 232000, "weightsMb": 200000.0,
           "adapterSlots": 8, "loadsPerS": 4.5, "models": [{"name": "m0", "weightsMb": 34300.0,
           "loadS": 6.0, "adapters": 0, "adapterMb": 40.0, "warmS": 0.28, "diskS": 0.4}]}}],
       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
         "idleTimeoutMs": 15000}}
      """;

  private record Exchange(
      String id, long sentMillis, long endedMillis, boolean complete, int status) {}

  private final Scenario scenario;
  private final Map<String, Long> arrivedMillisById = new ConcurrentHashMap<>();
  private final List<Exchange> exchanges = new ArrayList<>();
  private volatile boolean stopped;

  private SigtermCase(Scenario scenario) {
    this.scenario = scenario;
  }

  public static void main(String[] args) throws Exception {
    int result = Scenario.NOT_RUN;
    try (Scenario scenario = new Scenario(Path.of(args[0]))) {
      result = new SigtermCase(scenario).run();
      scenario.log("exit status " + result);
    } catch (IOException e) {
      System.err.println("not run: " + e);
    }
    System.exit(result);
  }

  private int run() throws Exception {
    scenario.store.put("op", "config", CONFIG);
    for (int i = 1; i <= 2; i++) {
      new ServerStandin(
          scenario.store, "i-" + i, "llm", "v1", List.of("m0"), 64, this::stream);
    }
    Scenario.Gateway first = scenario.startGateway("n1");
    Scenario.Gateway second = scenario.startGateway("n2");
    scenario.awaitReady(first);
    scenario.awaitReady(second);
    Scenario.sleep(2_000);
    long startMillis = scenario.millis();
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      HttpStandin.daemon(() -> call(number, first.callerPort()));
    }
    Scenario.sleep(TROUBLE_MILLIS);
    long termMillis = scenario.millis();
    if (Scenario.TROUBLE) {
      scenario.terminate(first);
      first.process().waitFor();
      scenario.log("the gateway has ended");
    } else {
      Scenario.sleep(GRACE_MILLIS);
    }
    Scenario.sleep(1_000);
    stopped = true;
    scenario.log("callers started at " + startMillis + " ms, trouble at " + termMillis + " ms");
    // Without a disruption, the streams in flight end within their length.
    Scenario.sleep(EVENTS * EVENT_MILLIS + 1_000);
    return judge(termMillis);
  }

  /** Sends a stream of events that are apart by less than the gap target of the route. */
  private void stream(HttpStandin.Request request, HttpStandin.Connection connection)
      throws IOException {
    String id = request.header("Request-Id");
    arrivedMillisById.put(id, scenario.millis());
    scenario.log("server runs " + id);
    connection.write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + id
            + "\r\nServer-Seal: seal-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= EVENTS; i++) {
      String event = "id: " + i + "\ndata: " + id + " part " + i + "\n\n";
      connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      Scenario.sleep(EVENT_MILLIS);
    }
    connection.write("0\r\n\r\n");
  }

  /** Sends requests over one kept connection until the gateway closes it. */
  private void call(int number, int port) {
    // The callers' streams end at different times.
    Scenario.sleep(number * EVENTS * EVENT_MILLIS / CALLERS);
    try (Caller caller = new Caller(port)) {
      boolean open = true;
      for (int i = 0; open && !stopped; i++) {
        open = exchange(caller, "c%d-%d".formatted(number, i));
      }
    } catch (IOException e) {
      scenario.log("caller " + number + ": " + e);
    }
  }

  private boolean exchange(Caller caller, String id) {
    long sentMillis = scenario.millis();
    boolean complete = false;
    boolean closes = true;
    int status = 0;
    try {
      Caller.Response response =
          caller.call(
              "POST",
              "/notes/x",
              "Request-Id: " + id + "\r\nModel: m0\r\nToken-Count: 640,80\r\n"
                  + "Prompt-Prefix: 5c1e07a2:93,91bd3f06:62,e4402b7d:491\r\nDeadline-Ms: 17000\r\n",
              "prompt".getBytes());
      status = response.status();
      String text = new String(response.body());
      complete = status != 200 || text.contains("part " + EVENTS + "\n\n");
      closes = response.closes();
    } catch (IOException e) {
      scenario.log("caller: " + id + ": " + e);
    }
    long endedMillis = scenario.millis();
    scenario.log(
        "caller: %s sent at %d ms, %s after %d ms"
            .formatted(id, sentMillis, complete ? "answered " + status : "cut",
                endedMillis - sentMillis));
    synchronized (exchanges) {
      exchanges.add(new Exchange(id, sentMillis, endedMillis, complete, status));
    }
    return complete && !closes;
  }

  private synchronized int judge(long termMillis) {
    int lost = 0;
    int answered = 0;
    synchronized (exchanges) {
      for (Exchange exchange : exchanges) {
        answered += exchange.complete() && exchange.status() == 200 ? 1 : 0;
        boolean passedOn = arrivedMillisById.containsKey(exchange.id());
        boolean planned =
            exchange.endedMillis() >= termMillis
                && exchange.endedMillis() <= termMillis + GRACE_MILLIS + 1_000;
        boolean excused = exchange.sentMillis() <= termMillis + EXCUSED_SENT_MILLIS;
        boolean inTime = exchange.endedMillis() - exchange.sentMillis() < TIMEOUT_MILLIS;
        if (!exchange.complete() && passedOn && planned && !excused && inTime) {
          lost++;
          scenario.log(
              "LOST: %s, sent %d ms after SIGTERM, passed on to a server, cut %d ms after SIGTERM"
                  .formatted(exchange.id(), exchange.sentMillis() - termMillis,
                      exchange.endedMillis() - termMillis));
        }
      }
    }
    scenario.log("requests answered " + answered + ", lost " + lost);
    if (answered == 0) {
      return Scenario.NOT_RUN;
    }
    return lost > 0 ? Scenario.BROKEN : Scenario.HELD;
  }
}
