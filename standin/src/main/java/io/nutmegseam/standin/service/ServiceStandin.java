package io.nutmegseam.standin.service;

import io.nutmegseam.standin.fault.FaultInjector;
import io.nutmegseam.standin.fault.FaultInjector.Response;
import io.nutmegseam.standin.http.HttpExchange;
import io.nutmegseam.standin.http.StandinServer;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Simulates a plain service. Counts the calls that ran by path and body, so that a test can detect
 * a call that ran more than once.
 */
public final class ServiceStandin implements AutoCloseable {
  private final Map<String, Integer> ledger = new TreeMap<>();
  private final FaultInjector faults = new FaultInjector();
  private final StandinServer server;
  private final long workMillis;

  /**
   * Starts the stand-in.
   *
   * @param port the port on 127.0.0.1; 0 for any free one
   * @param workMillis duration of a call, in milliseconds
   */
  public ServiceStandin(int port, long workMillis) {
    this.workMillis = workMillis;
    this.server = new StandinServer(port, this::handle);
  }

  /** Returns the base address. */
  public String address() {
    return "http://127.0.0.1:" + server.port();
  }

  /** Returns the injector of faults into this stand-in. */
  public FaultInjector faults() {
    return faults;
  }

  /** Returns how often each call ran, by path and body separated by a space. */
  public synchronized Map<String, Integer> ledger() {
    return new TreeMap<>(ledger);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpExchange exchange) throws IOException, InterruptedException {
    switch (exchange.path()) {
      case "/standin/faults" -> faults.handleSetRules(exchange);
      case "/standin/ledger" -> exchange.respondJson(200, ledger());
      case "/standin/load" -> exchange.respondJson(200, Map.of("running", 0, "queued", 0));
      default -> faults.run("call", exchange, () -> runCall(exchange));
    }
  }

  private Response runCall(HttpExchange exchange) throws IOException, InterruptedException {
    String key = exchange.path() + " " + exchange.bodyText();
    int times = recordCall(key);
    Thread.sleep(workMillis);
    return Response.of(200, Map.of("path", exchange.path(), "times", times, "lines", List.of(key)));
  }

  private synchronized int recordCall(String key) {
    return ledger.merge(key, 1, Integer::sum);
  }
}
