import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/** The platform's store: rows of tables, with transactions and a feed of changes. */
final class StoreStandin {
  private static final ObjectMapper JSON = new ObjectMapper();

  private record Row(String table, String key, String value, long ver, boolean tombstone) {}

  private final TreeMap<String, Row> rowByName = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final HttpStandin http;
  private long version;

  StoreStandin() throws IOException {
    http = new HttpStandin(0, this::handle);
  }

  int port() {
    return http.port();
  }

  /**
   * Opens a further address of the store. While {@code refuses} is true, it answers 503 to all
   * calls, as the store does that turns some machines away and serves the others.
   */
  int openAddress(BooleanSupplier refuses) throws IOException {
    return new HttpStandin(
            0,
            (request, connection) -> {
              if (refuses.getAsBoolean()) {
                connection.respond(503, "", new byte[0]);
              } else {
                handle(request, connection);
              }
            })
        .port();
  }

  /** Writes a row as the operator or a server does; returns its version. */
  synchronized long put(String table, String key, String text) {
    String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    return change(new Row(table, key, value, ++version, false));
  }

  synchronized void remove(String table, String key) {
    if (rowByName.containsKey(name(table, key))) {
      change(new Row(table, key, "", ++version, true));
    }
  }

  private synchronized long change(Row row) {
    if (row.tombstone()) {
      rowByName.remove(name(row.table(), row.key()));
    } else {
      rowByName.put(name(row.table(), row.key()), row);
    }
    history.add(row);
    notifyAll();
    return row.ver();
  }

  private static String name(String table, String key) {
    return table + "\0" + key;
  }

  private void handle(HttpStandin.Request request, HttpStandin.Connection connection)
      throws Exception {
    ObjectNode body = JSON.createObjectNode();
    int status = 200;
    switch (request.path()) {
      case "/v1/rows-get" -> get(request, body);
      case "/v1/rows-feed" -> feed(request, body);
      case "/v1/rows-tx" -> status = transact(JSON.readTree(request.body()), body);
      default -> status = 404;
    }
    body.put("nowMs", System.nanoTime() / 1_000_000);
    connection.respond(
        status, "Content-Type: application/json\r\n", JSON.writeValueAsBytes(body));
  }

  private synchronized void get(HttpStandin.Request request, ObjectNode body) {
    String table = request.parameter("table");
    String from = request.parameter("from");
    String to = request.parameter("to");
    String limit = request.parameter("limit");
    int most = limit.isEmpty() ? 500 : Integer.parseInt(limit);
    ArrayNode rows = body.putArray("rows");
    boolean more = false;
    for (Row row : rowByName.tailMap(name(table, from)).values()) {
      if (!row.table().equals(table) || (!to.isEmpty() && row.key().compareTo(to) >= 0)) {
        break;
      }
      if (rows.size() >= most) {
        more = true;
        break;
      }
      rows.add(toJson(row));
    }
    body.put("hasMore", more).put("ver", version);
  }

  private synchronized void feed(HttpStandin.Request request, ObjectNode body)
      throws InterruptedException {
    String table = request.parameter("table");
    long after = Long.parseLong(request.parameter("after"));
    long untilMillis =
        System.nanoTime() / 1_000_000 + Long.parseLong("0" + request.parameter("waitMs"));
    List<Row> changed = changes(table, after);
    for (long left = untilMillis - System.nanoTime() / 1_000_000;
        changed.isEmpty() && left > 0;
        left = untilMillis - System.nanoTime() / 1_000_000) {
      wait(left);
      changed = changes(table, after);
    }
    ArrayNode rows = body.putArray("rows");
    changed.forEach(row -> rows.add(toJson(row)));
    body.put("ver", version);
  }

  private List<Row> changes(String table, long after) {
    return history.stream()
        .filter(row -> row.ver() > after && row.table().equals(table))
        .toList();
  }

  private synchronized int transact(JsonNode call, ObjectNode body) {
    boolean holds = true;
    ArrayNode current = JSON.createArrayNode();
    for (JsonNode expected : call.path("expected")) {
      Row row = rowByName.get(name(expected.path("table").asText(), expected.path("key").asText()));
      if (row != null) {
        current.add(toJson(row));
      }
      holds &= expected.path("ver").asLong() == (row == null ? 0 : row.ver());
    }
    if (holds) {
      version++;
      for (JsonNode set : call.path("setKeys")) {
        change(
            new Row(
                set.path("table").asText(),
                set.path("key").asText(),
                set.path("value").asText(),
                version,
                false));
      }
      for (JsonNode row : call.path("remove")) {
        change(new Row(row.path("table").asText(), row.path("key").asText(), "", version, true));
      }
    } else {
      body.set("rows", current);
    }
    body.put("ver", version);
    return holds ? 200 : 412;
  }

  private static ObjectNode toJson(Row row) {
    ObjectNode node = JSON.createObjectNode();
    node.put("table", row.table()).put("part", "").put("key", row.key()).put("ver", row.ver());
    return row.tombstone() ? node.put("tombstone", true) : node.put("value", row.value());
  }
}
