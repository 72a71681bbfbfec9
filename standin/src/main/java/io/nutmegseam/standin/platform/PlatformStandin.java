package io.nutmegseam.standin.platform;

import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.Transaction;
import io.nutmegseam.standin.fault.FaultBook;
import io.nutmegseam.standin.fault.FaultBook.Answer;
import io.nutmegseam.standin.http.Exchange;
import io.nutmegseam.standin.http.StandinServer;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's HTTP interface over the stand-in stores. */
public final class PlatformStandin implements AutoCloseable {
  private final TableStore table = new TableStore();
  private final Map<String, String> objects = new ConcurrentHashMap<>();
  private final Map<String, String> vmStates = new ConcurrentHashMap<>();
  private final FaultBook faults = new FaultBook();
  private final WeightStore weights;
  private final StandinServer server;

  /**
   * Starts the stand-in.
   *
   * @param port the port on 127.0.0.1; 0 for any free one
   * @param weights the weight store
   */
  public PlatformStandin(int port, WeightStore weights) {
    this.weights = weights;
    this.server = new StandinServer(port, this::handle);
  }

  /** Returns the base address. */
  public String address() {
    return "http://127.0.0.1:" + server.port();
  }

  /** Returns the rows, for checks. */
  public TableStore table() {
    return table;
  }

  /** Returns the faults. */
  public FaultBook faults() {
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

  private void handle(Exchange exchange) throws IOException, InterruptedException {
    String path = exchange.path();
    switch (path) {
      case "/table/commit" -> faults.run("commit", exchange, () -> commit(exchange));
      case "/table/range" -> faults.run("range", exchange, () -> range(exchange));
      case "/vms" -> faults.run("vms", exchange, () -> vms(exchange));
      case "/weights/fetch" -> faults.run("fetch", exchange, () -> fetch(exchange));
      case "/weights/slowdown" -> {
        weights.setSlowdown(exchange.bodyJson().asDouble());
        exchange.json(200, List.of());
      }
      case "/faults" -> faults.accept(exchange);
      case "/stats" ->
          exchange.json(
              200,
              Map.of(
                  "commits",
                  table.commits(),
                  "reads",
                  table.reads(),
                  "fetches",
                  weights.fetches()));
      default -> {
        if (path.startsWith("/objects/")) {
          faults.run("objects", exchange, () -> objects(exchange));
        } else {
          exchange.json(404, List.of());
        }
      }
    }
  }

  private Answer commit(Exchange exchange) throws IOException {
    Transaction transaction = Exchange.JSON.treeToValue(exchange.bodyJson(), Transaction.class);
    return Answer.of(200, table.commit(transaction));
  }

  private Answer range(Exchange exchange) throws IOException {
    List<Row> rows =
        table.range(
            exchange.query("prefix", ""),
            Long.parseLong(exchange.query("since", "0")),
            Integer.parseInt(exchange.query("limit", "1000")));
    return Answer.of(200, rows);
  }

  private Answer vms(Exchange exchange) throws IOException {
    if (exchange.method().equals("POST")) {
      vmStates.clear();
      exchange
          .bodyJson()
          .properties()
          .forEach(vm -> vmStates.put(vm.getKey(), vm.getValue().asText()));
    }
    return Answer.of(200, vmStates);
  }

  private Answer fetch(Exchange exchange) throws IOException, InterruptedException {
    weights.fetch(exchange.bodyJson().path("adapter").asBoolean());
    return Answer.of(200, List.of());
  }

  private Answer objects(Exchange exchange) throws IOException {
    if (exchange.method().equals("PUT")) {
      objects.put(exchange.path(), exchange.bodyText());
      return Answer.of(200, List.of());
    }
    String body = objects.get(exchange.path());
    return body == null ? Answer.of(404, List.of()) : new Answer(200, body);
  }
}
