import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A stand-in for a model server with one model and its adapters. It carries out orders as the
 * protocol page says: an adapter that no request uses is unloaded at once (200); the unload of one
 * that is in use is accepted (202) and waits for its runs. A server that is ordered to load more
 * adapters than it has places for crashes.
 */
final class ModelServer {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int BACKLOG = 100;
  private static final long CHECK_IN_MILLIS = 1_200;
  private static final long ADAPTER_LOAD_MILLIS = 10;
  private static final long EVENT_MILLIS = 200;

  private final String id;
  private final String model;
  private final int adapterSlots;
  private final StoreStandin store;
  private final Record record;
  private final ServerSocket listener;
  private final long bornMillis = System.currentTimeMillis();
  private final Set<String> loaded = new TreeSet<>();
  private final Set<String> pending = new HashSet<>();

  /** Adapters whose unload waits for the runs that use them; they keep their places until then. */
  private final Set<String> unloading = new TreeSet<>();

  private final Map<String, Integer> runsByAdapter = new TreeMap<>();
  private final Set<Socket> sockets = new HashSet<>();
  private long seq;
  private long checkIns;
  private int runs;
  private boolean crashed;
  private String violation = "";
  private int cutRuns;

  ModelServer(
      String id,
      String model,
      Set<String> adapters,
      int adapterSlots,
      StoreStandin store,
      Record record)
      throws IOException {
    this.id = id;
    this.model = model;
    this.loaded.addAll(adapters);
    this.adapterSlots = adapterSlots;
    this.store = store;
    this.record = record;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    daemon(this::accept);
    checkIn();
    daemon(this::checkInRegularly);
  }

  /** Returns what was ordered beyond the places of the server; empty if nothing was. */
  synchronized String violation() {
    return violation;
  }

  /** Returns how many runs ended because the server crashed. */
  synchronized int cutRuns() {
    return cutRuns;
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        synchronized (this) {
          sockets.add(socket);
        }
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void checkInRegularly() {
    try {
      while (!isCrashed()) {
        Thread.sleep(CHECK_IN_MILLIS);
        checkIn();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void checkIn() {
    if (!crashed) {
      ObjectNode entry =
          JSON.createObjectNode()
              .put("service", "llm")
              .put("address", "127.0.0.1:" + listener.getLocalPort())
              .put("zone", "dc-a")
              .put("version", "v1")
              .put("slots", 32)
              .put("state", "ready")
              .put("coldLeftMs", 0)
              .put("stage", "colocated")
              .put("seq", ++checkIns)
              .put("born", bornMillis);
      putModels(entry);
      store.put("servers", id, entry.toString());
    }
  }

  private void putModels(ObjectNode node) {
    ObjectNode entry = node.putArray("models").addObject().put("name", model).put("version", 1);
    ArrayNode adapters = entry.putArray("adapters");
    loaded.forEach(adapters::add);
    ObjectNode atHand = node.putObject("atHand");
    atHand.putArray("inMemory").add(model);
    atHand.putArray("onDisk").add(model);
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Wire.Head head = Wire.readHead(in); head != null; head = Wire.readHead(in)) {
        byte[] body = Wire.readBody(in, head);
        respond(head, body, out);
      }
    } catch (IOException | InterruptedException e) {
      // The gateway has closed the connection, or this server has crashed.
    } finally {
      synchronized (this) {
        sockets.remove(socket);
      }
    }
  }

  private void respond(Wire.Head head, byte[] body, OutputStream out)
      throws IOException, InterruptedException {
    String expected = head.header("Expect-Instance");
    String echoed = "Request-Id: " + head.header("Request-Id") + "\r\n";
    if (!expected.isEmpty() && !expected.equals(id)) {
      out.write(Wire.response(421, "Instance-Id: " + id + "\r\nNot-Run: 1\r\n" + echoed, ""));
    } else if (head.word(1).startsWith("/v1/report")) {
      out.write(Wire.response(200, "Content-Type: application/json\r\n", report()));
    } else if (head.word(1).startsWith("/v1/order")) {
      int status = order(JSON.readTree(body));
      if (isCrashed()) {
        throw new IOException("crashed");
      }
      out.write(Wire.response(status, "Content-Type: application/json\r\n", "{}"));
    } else if (head.word(1).startsWith("/health")) {
      out.write(Wire.response(200, "Instance-Id: " + id + "\r\n", ""));
    } else {
      stream(head, echoed, out);
    }
  }

  private synchronized String report() {
    ObjectNode report =
        JSON.createObjectNode()
            .put("stage", "colocated")
            .put("busy", false)
            .put("seq", seq)
            .put("queued", 0)
            .put("running", runsByAdapter.values().stream().mapToInt(n -> n).sum())
            .put("kvUsed", 0)
            .put("kvTotal", 232_000)
            .put("handles", 0);
    putModels(report);
    ArrayNode arriving = report.putArray("pending");
    pending.forEach(adapter -> arriving.add(model + "/" + adapter + "@1"));
    return report.toString();
  }

  private synchronized int order(JsonNode order) {
    String op = order.path("op").asText();
    String adapter = order.path("adapter").asText();
    int status = carryOut(op, adapter, order);
    record.add(
        "server %s: order %s %s/%s of %s, expected %s: %d; adapters %s, unload waits for runs of %s, running %s"
            .formatted(
                id,
                op,
                order.path("model").asText(),
                adapter,
                order.path("holder").asText(),
                order.path("expected").asText(),
                status,
                loaded,
                unloading,
                runsByAdapter));
    return status;
  }

  private int carryOut(String op, String adapter, JsonNode order) {
    if (order.has("expected") && order.path("expected").asLong() != seq) {
      return 409;
    }
    if (adapter.isEmpty()) {
      // The model is loaded, and its memory is not needed for others.
      return op.equals("load") ? 200 : 409;
    }
    if (op.equals("unload")) {
      return unload(adapter);
    }
    if (loaded.contains(adapter) || pending.contains(adapter)) {
      return 200;
    }
    int taken = loaded.size() + pending.size();
    if (taken >= adapterSlots) {
      violation =
          "server %s was ordered to load %s although %d of its %d adapter places were taken: %s; the unload of %s waited for its runs"
              .formatted(id, adapter, taken, adapterSlots, loaded, unloading);
      crash();
      return 0;
    }
    seq++;
    pending.add(adapter);
    daemon(() -> finishLoad(adapter));
    return 202;
  }

  private int unload(String adapter) {
    if (!loaded.contains(adapter)) {
      return 200;
    }
    seq++;
    if (runsByAdapter.getOrDefault(adapter, 0) == 0) {
      loaded.remove(adapter);
      return 200;
    }
    unloading.add(adapter);
    return 202;
  }

  private void finishLoad(String adapter) {
    try {
      Thread.sleep(ADAPTER_LOAD_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    synchronized (this) {
      pending.remove(adapter);
      loaded.add(adapter);
    }
  }

  private void crash() {
    crashed = true;
    cutRuns = runsByAdapter.values().stream().mapToInt(n -> n).sum();
    record.add("server " + id + " crashes with " + cutRuns + " runs: " + violation);
    try {
      listener.close();
      for (Socket socket : sockets) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    } catch (IOException e) {
      record.add("close failed: " + e);
    }
  }

  private synchronized boolean isCrashed() {
    return crashed;
  }

  private void stream(Wire.Head head, String echoed, OutputStream out)
      throws IOException, InterruptedException {
    String ref = head.header("Model");
    String adapter = ref.substring(ref.indexOf('/') + 1);
    String run;
    synchronized (this) {
      if (unloading.contains(adapter)) {
        // The order concerns the request, which has not started.
        out.write(Wire.response(503, "Not-Run: 1\r\n" + echoed, ""));
        return;
      }
      if (!ref.startsWith(model + "/") || !loaded.contains(adapter)) {
        out.write(Wire.response(421, "Not-Run: 1\r\n" + echoed, ""));
        return;
      }
      runsByAdapter.merge(adapter, 1, Integer::sum);
      run = id + "." + ++runs;
      record.add("server %s: run %s of %s begins".formatted(id, run, ref));
    }
    String end = "cut";
    try {
      int events = Integer.parseInt(head.word(1).substring(head.word(1).lastIndexOf('/') + 1));
      out.write(
          Wire.bytes(
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                  + "Server-Seal: " + run + "\r\nWeight-Versions: 1\r\n" + echoed + "\r\n"));
      for (int i = 1; i <= events; i++) {
        out.write(Wire.chunk("id: " + i + "\ndata: " + run + "\n\n"));
        Thread.sleep(EVENT_MILLIS);
      }
      out.write(Wire.bytes("0\r\n\r\n"));
      end = "complete";
    } finally {
      synchronized (this) {
        record.add("server %s: run %s of %s ends: %s".formatted(id, run, ref, end));
        if (runsByAdapter.merge(adapter, -1, Integer::sum) == 0) {
          runsByAdapter.remove(adapter);
          if (unloading.remove(adapter)) {
            loaded.remove(adapter);
            record.add("server %s: %s is unloaded, its runs have ended".formatted(id, adapter));
          }
        }
      }
    }
  }
}
