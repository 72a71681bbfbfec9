package io.nutmegseam.standin.platform;

import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.Transaction;
import io.nutmegseam.standin.fault.FaultInjector;
import io.nutmegseam.standin.fault.FaultInjector.Response;
import io.nutmegseam.standin.http.HttpExchange;
import io.nutmegseam.standin.http.StandinServer;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Simulates the platform: serves its HTTP interface from stores in memory. */
public final class PlatformStandin implements AutoCloseable {
  private final TableStore table = new TableStore();
  private final Map<String, String> objects = new ConcurrentHashMap<>();
  private final Map<String, String> vmStates = new ConcurrentHashMap<>();
  private final FaultInjector faults = new FaultInjector();
  private final WeightStore weights;
  private final StandinServer server;

  /**
   * Starts the stand-in.
   *
   * @param port the port on 127.0.0.1; 0 for any free one
   * @param weights the weight store that serves the fetches
   */
  public PlatformStandin(int port, WeightStore weights) {
    this.weights = weights;
    this.server = new StandinServer(port, this::handle);
  }

  /** Returns the base address. */
  public String address() {
    return "http://127.0.0.1:" + server.port();
  }

  /** Returns the table, so that tests can check its rows. */
  public TableStore table() {
    return table;
  }

  /** Returns the injector of faults into this stand-in. */
  public FaultInjector faults() {
    return faults;
  }

  /** Returns the weight store. */
  public WeightStore weights() {
    return weights;
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpExchange exchange) throws IOException, InterruptedException {
    String path = exchange.path();
    switch (path) {
      case "/table/commit" -> faults.run("commit", exchange, () -> commit(exchange));
      case "/table/range" -> faults.run("range", exchange, () -> readRange(exchange));
      case "/vms" -> faults.run("vms", exchange, () -> handleVms(exchange));
      case "/weights/fetch" -> faults.run("fetch", exchange, () -> fetchWeights(exchange));
      case "/weights/slowdown" -> {
        weights.setSlowdown(exchange.bodyJson().asDouble());
        exchange.respondJson(200, List.of());
      }
      case "/faults" -> faults.handleSetRules(exchange);
      case "/stats" ->
          exchange.respondJson(
              200,
              Map.of(
                  "commits",
                  table.commitCount(),
                  "reads",
                  table.readCount(),
                  "fetches",
                  weights.modelFetchCount()));
      default -> {
        if (path.startsWith("/objects/")) {
          faults.run("objects", exchange, () -> handleObject(exchange));
        } else {
          exchange.respondJson(404, List.of());
        }
      }
    }
  }

  private Response commit(HttpExchange exchange) throws IOException {
    Transaction transaction = HttpExchange.JSON.treeToValue(exchange.bodyJson(), Transaction.class);
    return Response.of(200, table.commit(transaction));
  }

  private Response readRange(HttpExchange exchange) throws IOException {
    List<Row> rows =
        table.readRange(
            exchange.queryParameter("prefix", ""),
            Long.parseLong(exchange.queryParameter("since", "0")),
            Integer.parseInt(exchange.queryParameter("limit", "1000")));
    return Response.of(200, rows);
  }

  private Response handleVms(HttpExchange exchange) throws IOException {
    if (exchange.method().equals("POST")) {
      vmStates.clear();
      exchange
          .bodyJson()
          .properties()
          .forEach(vm -> vmStates.put(vm.getKey(), vm.getValue().asText()));
    }
    return Response.of(200, vmStates);
  }

  private Response fetchWeights(HttpExchange exchange) throws IOException, InterruptedException {
    weights.fetch(exchange.bodyJson().path("adapter").asBoolean());
    return Response.of(200, List.of());
  }

  private Response handleObject(HttpExchange exchange) throws IOException {
    if (exchange.method().equals("PUT")) {
      objects.put(exchange.path(), exchange.bodyText());
      return Response.of(200, List.of());
    }
    String body = objects.get(exchange.path());
    return body == null ? Response.of(404, List.of()) : new Response(200, body);
  }
}
