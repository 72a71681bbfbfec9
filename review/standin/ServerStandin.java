import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

/** A backend server: registers in the store, reports its state and runs requests. */
final class ServerStandin {
  static final long CHECK_IN_MILLIS = 1_200;

  /** Runs a request and writes its response. */
  interface Work {
    void run(HttpStandin.Request request, HttpStandin.Connection connection) throws Exception;
  }

  final String id;
  private final String service;
  private final String version;
  private final List<String> models;
  private final int slots;
  private final StoreStandin store;
  private final Work work;
  private final long bornMillis = System.currentTimeMillis();
  private final HttpStandin http;
  private boolean leaving;

  ServerStandin(
      StoreStandin store, String id, String service, String version, List<String> models,
      int slots, Work work)
      throws IOException {
    this.store = store;
    this.id = id;
    this.service = service;
    this.version = version;
    this.models = models;
    this.slots = slots;
    this.work = work;
    http = new HttpStandin(0, this::handle);
    HttpStandin.daemon(this::checkIn);
  }

  private void checkIn() {
    while (checkInOnce()) {
      Scenario.sleep(CHECK_IN_MILLIS);
    }
  }

  private synchronized boolean checkInOnce() {
    if (!leaving) {
      store.put("servers", id, entry());
    }
    return !leaving;
  }

  /** Begins to leave: the entry is removed, and the server serves on for a while. */
  synchronized void leave() {
    leaving = true;
    store.remove("servers", id);
  }

  /** Exits, which ends all connections. */
  void exit() {
    http.close();
  }

  private String entry() {
    return ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"dc-a\",\"version\":\"%s\","
            + "\"slots\":%d,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":%d,\"seq\":1%s}")
        .formatted(
            service, http.port(), version, slots, bornMillis,
            models.isEmpty() ? "" : ",\"stage\":\"colocated\",\"models\":" + modelsJson());
  }

  private String modelsJson() {
    return models.stream()
        .map(model -> "{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}")
        .collect(Collectors.joining(",", "[", "]"));
  }

  private void handle(HttpStandin.Request request, HttpStandin.Connection connection)
      throws Exception {
    String expected = request.header("Expect-Instance");
    String echo =
        request.header("Request-Id").isEmpty()
            ? ""
            : "Request-Id: " + request.header("Request-Id") + "\r\n";
    if (!expected.isEmpty() && !expected.equals(id)) {
      connection.respond(421, echo + "Not-Run: 1\r\nInstance-Id: " + id + "\r\n", new byte[0]);
    } else if (request.path().equals("/v1/report")) {
      String report =
          ("{\"stage\":\"colocated\",\"models\":%s,\"busy\":false,\"seq\":0,\"queued\":0,"
                  + "\"running\":0,\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0,\"born\":%d}")
              .formatted(modelsJson(), bornMillis);
      connection.respond(
          200, "Content-Type: application/json\r\n", report.getBytes(StandardCharsets.UTF_8));
    } else if (request.path().equals("/v1/order")) {
      connection.respond(200, "", new byte[0]);
    } else if (request.path().equals("/health")) {
      connection.respond(200, "Instance-Id: " + id + "\r\n", new byte[0]);
    } else {
      work.run(request, connection);
    }
  }
}
