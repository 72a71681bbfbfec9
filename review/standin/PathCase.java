import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Callers send paths and queries with letters outside ASCII, as UTF-8. Breaks UNASKED if a server
 * runs a request with another path or query than the caller sent.
 */
final class PathCase {
  private static final int REQUESTS = 20;
  private static final List<String> NAMES =
      Scenario.TROUBLE
          ? List.of("Horsk\u00e1", "ku\u0159e", "\u017dofie", "Krkono\u0161e")
          : List.of("Horska", "kure", "Zofie", "Krkonose");
  private static final String CONFIG =
      """
      {"version": 1,
       "routes": [{"name": "pay", "host": "review.example", "pathPrefix": "/pay/",
         "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 100, "priority": 2,
         "service": "app", "maxAttempts": 1}],
       "services": [{"name": "app", "healthPath": "/health", "maxConns": 96, "protocol": "h1",
         "tls": false}],
       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
         "idleTimeoutMs": 15000}}
      """;

  private final Scenario scenario;
  private final Map<String, String> ranTargetById = new ConcurrentHashMap<>();

  private PathCase(Scenario scenario) {
    this.scenario = scenario;
  }

  public static void main(String[] args) throws Exception {
    int result = Scenario.NOT_RUN;
    try (Scenario scenario = new Scenario(Path.of(args[0]))) {
      result = new PathCase(scenario).run();
      scenario.log("exit status " + result);
    } catch (IOException e) {
      System.err.println("not run: " + e);
    }
    System.exit(result);
  }

  private int run() throws Exception {
    scenario.store.put("op", "config", CONFIG);
    for (int i = 1; i <= 2; i++) {
      new ServerStandin(scenario.store, "i-" + i, "app", "v1", List.of(), 6, this::work);
    }
    Scenario.Gateway gateway = scenario.startGateway("n1");
    scenario.awaitReady(gateway);
    Scenario.sleep(2_000);
    int changed = 0;
    int ran = 0;
    for (int i = 0; i < REQUESTS; i++) {
      String id = "p" + i;
      String target = latin1("/pay/" + NAMES.get(i % NAMES.size()) + "?for=" + NAMES.get(i % 3));
      int status = call(gateway, id, target);
      String ranTarget = ranTargetById.get(id);
      ran += ranTarget == null ? 0 : 1;
      boolean differs = ranTarget != null && !ranTarget.equals(target);
      changed += differs ? 1 : 0;
      scenario.log(
          "%s: sent %s, answered %d, server ran %s%s"
              .formatted(
                  id, hex(target), status, ranTarget == null ? "nothing" : hex(ranTarget),
                  differs ? " UNASKED" : ""));
    }
    scenario.log("requests %d, run %d, run with another target %d".formatted(REQUESTS, ran, changed));
    if (Scenario.TROUBLE || ran == REQUESTS) {
      return changed > 0 ? Scenario.BROKEN : Scenario.HELD;
    }
    return Scenario.NOT_RUN;
  }

  /** Returns the UTF-8 bytes of a text as characters of one byte each. */
  private static String latin1(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  private static String hex(String target) {
    StringBuilder text = new StringBuilder();
    target.chars().forEach(c -> text.append(c < 128 ? "" + (char) c : "\\x%02x".formatted(c)));
    return text.toString();
  }

  private void work(HttpStandin.Request request, HttpStandin.Connection connection)
      throws IOException {
    String id = request.header("Request-Id");
    ranTargetById.put(id, request.target());
    connection.respond(
        200, "Request-Id: " + id + "\r\nServer-Seal: s-" + id + "\r\n", new byte[800]);
  }

  private int call(Scenario.Gateway gateway, String id, String target) throws IOException {
    try (Caller caller = new Caller(gateway.callerPort())) {
      caller.socket.setSoTimeout(5_000);
      return caller
          .call(
              "POST", target, "Request-Id: " + id + "\r\nDeadline-Ms: 1500\r\n",
              "payment".getBytes())
          .status();
    }
  }
}
