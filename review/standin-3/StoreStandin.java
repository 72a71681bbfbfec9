import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's store: rows, transactions and the feed of changes. */
final class StoreStandin {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int BACKLOG = 100;
  private static final int MAX_ROWS = 500;

  /** All changes; the last one of a key is its row. */
  private final List<Row> history = new ArrayList<>();

  private final ServerSocket listener;
  private long version;

  private record Row(String table, String key, String value, long version, boolean removed) {}

  StoreStandin() throws IOException {
    listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread acceptor =
        new Thread(
            () -> {
              while (true) {
                try {
                  Socket socket = listener.accept();
                  Thread handler = new Thread(() -> serve(socket));
                  handler.setDaemon(true);
                  handler.start();
                } catch (IOException e) {
                  return;
                }
              }
            });
    acceptor.setDaemon(true);
    acceptor.start();
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Writes a row as the operator or a server does. */
  synchronized void put(String table, String key, String text) {
    String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    change(new Row(table, key, value, ++version, false));
  }

  synchronized void remove(String table, String key) {
    if (rows(table).containsKey(key)) {
      change(new Row(table, key, "", ++version, true));
    }
  }

  private void change(Row row) {
    history.add(row);
    notifyAll();
  }

  private List<Row> changes(String table, long after) {
    return history.stream()
        .filter(row -> row.version() > after && row.table().equals(table))
        .toList();
  }

  private TreeMap<String, Row> rows(String table) {
    TreeMap<String, Row> rowByKey = new TreeMap<>();
    changes(table, 0).forEach(row -> rowByKey.put(row.key(), row));
    rowByKey.values().removeIf(Row::removed);
    return rowByKey;
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Wire.Head head = Wire.readHead(in); head != null; head = Wire.readHead(in)) {
        byte[] body = Wire.readBody(in, head);
        socket.getOutputStream().write(respond(head.word(1), body));
      }
    } catch (IOException | InterruptedException e) {
      // The node has closed the connection.
    }
  }

  private byte[] respond(String target, byte[] body) throws IOException, InterruptedException {
    String[] halves = (target + "?").split("\\?", -1);
    Map<String, String> parameters = new HashMap<>();
    for (String pair : halves[1].split("&", -1)) {
      String[] words = (pair + "=").split("=", -1);
      parameters.put(words[0], URLDecoder.decode(words[1], StandardCharsets.UTF_8));
    }
    ObjectNode response = JSON.createObjectNode();
    int status = 200;
    switch (halves[0]) {
      case "/v1/rows-get" -> get(parameters, response);
      case "/v1/rows-feed" -> feed(parameters, response);
      case "/v1/rows-tx" -> status = transact(JSON.readTree(body), response);
      default -> status = 404;
    }
    response.put("nowMs", System.nanoTime() / 1_000_000);
    return Wire.response(status, "Content-Type: application/json\r\n", response.toString());
  }

  private synchronized void get(Map<String, String> parameters, ObjectNode response) {
    String to = parameters.getOrDefault("to", "");
    int limit = Integer.parseInt(parameters.getOrDefault("limit", "" + MAX_ROWS));
    List<Row> found =
        rows(parameters.get("table")).tailMap(parameters.getOrDefault("from", "")).values().stream()
            .takeWhile(row -> to.isEmpty() || row.key().compareTo(to) < 0)
            .toList();
    ArrayNode rows = response.putArray("rows");
    found.stream().limit(limit).forEach(row -> rows.add(toJson(row)));
    response.put("hasMore", found.size() > limit).put("ver", version);
  }

  private synchronized void feed(Map<String, String> parameters, ObjectNode response)
      throws InterruptedException {
    String table = parameters.get("table");
    long after = Long.parseLong(parameters.get("after"));
    long untilNanos =
        System.nanoTime() + 1_000_000L * Long.parseLong(parameters.getOrDefault("waitMs", "0"));
    while (changes(table, after).isEmpty() && System.nanoTime() < untilNanos) {
      wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000));
    }
    ArrayNode rows = response.putArray("rows");
    changes(table, after).forEach(row -> rows.add(toJson(row)));
    response.put("ver", version);
  }

  private synchronized int transact(JsonNode call, ObjectNode response) {
    boolean holds = true;
    ArrayNode current = JSON.createArrayNode();
    for (JsonNode expected : call.path("expected")) {
      Row row = rows(expected.path("table").asText()).get(expected.path("key").asText());
      if (row != null) {
        current.add(toJson(row));
      }
      holds &= expected.path("ver").asLong() == (row == null ? 0 : row.version());
    }
    if (holds) {
      version++;
      call.path("setKeys").forEach(row -> change(row(row, row.path("value").asText(), false)));
      call.path("remove").forEach(row -> change(row(row, "", true)));
    } else {
      response.set("rows", current);
    }
    response.put("ver", version);
    return holds ? 200 : 412;
  }

  private Row row(JsonNode node, String value, boolean removed) {
    return new Row(node.path("table").asText(), node.path("key").asText(), value, version, removed);
  }

  private static ObjectNode toJson(Row row) {
    ObjectNode node =
        JSON.createObjectNode().put("table", row.table()).put("part", "").put("key", row.key());
    node.put("ver", row.version());
    return row.removed() ? node.put("tombstone", true) : node.put("value", row.value());
  }
}
