package io.nutmegseam.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.nutmegseam.core.backend.Inventory;
import io.nutmegseam.core.backend.LoadReport;
import io.nutmegseam.standin.fault.FaultInjector;
import io.nutmegseam.standin.fault.FaultInjector.Response;
import io.nutmegseam.standin.http.HttpExchange;
import io.nutmegseam.standin.http.StandinServer;
import java.io.IOException;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Simulates a model engine: its HTTP interfaces, loads and unloads of units, and crashes. */
public final class EngineStandin implements AutoCloseable {
  /** Fetches the weights of a unit from a weight store. */
  @FunctionalInterface
  public interface WeightSource {
    /**
     * Fetches the weights of one unit; blocks until the fetch is complete.
     *
     * @param adapter whether the unit is an adapter
     * @throws IOException if the fetch fails
     * @throws InterruptedException if the thread is interrupted
     */
    void fetch(boolean adapter) throws IOException, InterruptedException;
  }

  private final EngineProfile profile;
  private final WeightSource weights;
  private final Clock clock;
  private final FaultInjector faults = new FaultInjector();
  private final ExecutorService backgroundExecutor = Executors.newCachedThreadPool();
  private final Deque<TimedReport> recentReports = new ArrayDeque<>();
  private final EngineMemory memory;
  private final CompletionApi completions;
  private final StandinServer server;
  private String incarnation = UUID.randomUUID().toString();
  private long epoch;
  private boolean leaving;
  private int fencedOrders;

  private record TimedReport(long atMillis, LoadReport report) {}

  /**
   * Starts the stand-in.
   *
   * @param port the port on 127.0.0.1; 0 for any free one
   * @param profile the engine that it simulates
   * @param weights source of the weights of units that are not on disk
   * @param clock the wall clock
   */
  public EngineStandin(int port, EngineProfile profile, WeightSource weights, Clock clock) {
    this.profile = profile;
    this.weights = weights;
    this.clock = clock;
    this.memory = new EngineMemory(profile, clock.millis());
    this.completions = new CompletionApi(profile, memory, faults, clock, this::crash);
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

  /** Returns the counters up to now. */
  public EngineStats stats() {
    return memory.stats(clock.millis());
  }

  /** Returns the units in memory and the state of the engine. */
  public synchronized Inventory inventory() {
    return new Inventory(incarnation, epoch, leaving, memory.items(), memory.cachedUnits());
  }

  /** Returns the number of orders and claims that were rejected for an old fencing number. */
  public synchronized int fencedOrders() {
    return fencedOrders;
  }

  /** Sets whether the inventory reports that the engine is leaving. */
  public synchronized void setLeaving(boolean value) {
    leaving = value;
  }

  /**
   * Simulates a crash: changes the incarnation, resets the fencing number, discards the units in
   * memory and the completions, and closes all connections. The engine refuses connections until
   * its restart time has passed.
   */
  public void crash() {
    synchronized (this) {
      incarnation = UUID.randomUUID().toString();
      epoch = 0;
    }
    memory.clear(clock.millis());
    completions.cancelAll();
    server.setRefusingConnections(true);
    server.closeConnections();
    backgroundExecutor.execute(
        () -> {
          try {
            TimeUnit.MILLISECONDS.sleep(profile.restartMillis());
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          server.setRefusingConnections(false);
        });
  }

  @Override
  public void close() {
    backgroundExecutor.shutdownNow();
    server.close();
  }

  private void handle(HttpExchange exchange) throws IOException, InterruptedException {
    String path = exchange.path();
    switch (path) {
      case "/control/inventory" ->
          faults.run("inventory", exchange, () -> Response.of(200, inventory()));
      case "/control/claim" -> faults.run("claim", exchange, () -> claim(exchange.bodyJson()));
      case "/control/load" -> faults.run("load", exchange, () -> load(exchange.bodyJson()));
      case "/control/unload" -> faults.run("unload", exchange, () -> unload(exchange.bodyJson()));
      case "/control/load-report" ->
          faults.run("load-report", exchange, () -> Response.of(200, delayedReport()));
      case "/control/leaving" -> {
        setLeaving(exchange.bodyJson().asBoolean());
        exchange.respondJson(200, List.of());
      }
      case "/standin/faults" -> faults.handleSetRules(exchange);
      case "/standin/stats" -> exchange.respondJson(200, stats());
      default -> completions.handle(exchange);
    }
  }

  private Response claim(JsonNode order) throws IOException {
    return passesFence(order) ? Response.of(200, Map.of()) : fencedResponse();
  }

  private Response load(JsonNode order) throws IOException {
    if (!passesFence(order)) {
      return fencedResponse();
    }
    String unit = order.path("unit").asText();
    long memoryBytes = order.path("memoryBytes").asLong();
    if (memory.beginLoad(unit, memoryBytes, clock.millis())) {
      boolean adapter = !order.path("base").asText().isEmpty();
      String loadIncarnation = inventory().incarnation();
      backgroundExecutor.execute(() -> loadWeights(unit, adapter, loadIncarnation));
    }
    return Response.of(202, Map.of());
  }

  private void loadWeights(String unit, boolean adapter, String loadIncarnation) {
    try {
      if (!memory.isCached(unit)) {
        weights.fetch(adapter);
      }
      if (!adapter) {
        TimeUnit.MILLISECONDS.sleep(profile.diskLoadMillis());
      }
      if (inventory().incarnation().equals(loadIncarnation)) {
        memory.finishLoad(unit, clock.millis());
      }
    } catch (IOException e) {
      memory.failLoad(unit, clock.millis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Response unload(JsonNode order) throws IOException {
    if (!passesFence(order)) {
      return fencedResponse();
    }
    memory.beginUnload(order.path("unit").asText(), clock.millis());
    return Response.of(202, Map.of());
  }

  /**
   * Returns whether the fencing number of an order is current, and records it as the highest seen.
   * Counts a rejected order. An engine without fencing accepts every order.
   */
  private synchronized boolean passesFence(JsonNode order) {
    if (!profile.checksFencing()) {
      return true;
    }
    long orderEpoch = order.path("epoch").asLong();
    if (orderEpoch < epoch) {
      fencedOrders++;
      return false;
    }
    epoch = orderEpoch;
    return true;
  }

  private synchronized Response fencedResponse() throws IOException {
    return Response.of(409, Map.of("epoch", epoch));
  }

  /**
   * Records the current load and returns the newest report that is at least as old as the
   * configured lag, or the oldest report if none is.
   */
  private synchronized LoadReport delayedReport() {
    long nowMillis = clock.millis();
    recentReports.addLast(new TimedReport(nowMillis, currentReport()));
    while (recentReports.size() > 1 && isSecondReportOldEnough(nowMillis)) {
      recentReports.removeFirst();
    }
    return recentReports.getFirst().report();
  }

  private boolean isSecondReportOldEnough(long nowMillis) {
    TimedReport second = recentReports.stream().skip(1).findFirst().orElseThrow();
    return nowMillis - second.atMillis() >= profile.reportLagMillis();
  }

  private LoadReport currentReport() {
    return new LoadReport(
        completions.runningRequests(),
        completions.queuedRequests(),
        memory.runningByUnit(),
        memory.startedByUnit());
  }
}
