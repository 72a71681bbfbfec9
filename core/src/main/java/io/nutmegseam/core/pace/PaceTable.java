package io.nutmegseam.core.pace;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Learns the speed of servers from the times to the first event that this node sees. A node sees a
 * single server seldom, so it fits the times of a whole service and learns for each server only the
 * ratio to it. Not thread-safe.
 */
public final class PaceTable {
  /** A server that was not measured for this time is forgotten. */
  private static final long RETENTION_MILLIS = 60_000;

  /**
   * Difference between the elapsed monotonic time and time of day from which on the process counts
   * as paused: the monotonic clock stands still while it is.
   */
  private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 100;

  private final Map<String, ServicePace> services = new HashMap<>();
  private final Map<String, ServerPace> servers = new HashMap<>();
  private final PaceReports reports;
  private long cleanedMillis;

  /**
   * Creates a table without measurements.
   *
   * @param reports collects the ratios that this node measures
   */
  public PaceTable(PaceReports reports) {
    this.reports = reports;
  }

  /**
   * A time of both clocks.
   *
   * @param monotonicMillis monotonic time
   * @param wallMillis time of day
   */
  public record Instants(long monotonicMillis, long wallMillis) {
    private boolean isPauseSince(Instants start) {
      long monotonic = monotonicMillis - start.monotonicMillis;
      long wall = wallMillis - start.wallMillis;
      return Math.abs(wall - monotonic) > MAX_CLOCK_DIFFERENCE_MILLIS;
    }
  }

  /**
   * Adds the time from the sending of a request to the first event of its response.
   *
   * @param service the service of the server
   * @param server id of the server
   * @param tokens prompt tokens that were processed before the first event, with those ahead
   * @param sent when the request was sent
   * @param now when the first event arrived
   * @return whether the measurement counts; it does not if the process was paused meanwhile
   */
  public boolean onFirstEvent(
      String service, String server, double tokens, Instants sent, Instants now) {
    if (now.isPauseSince(sent)) {
      return false;
    }
    long nowMillis = now.monotonicMillis();
    ServerPace serverPace = servers.computeIfAbsent(server, s -> new ServerPace());
    ServicePace servicePace = services.computeIfAbsent(service, s -> new ServicePace());
    double millis = (nowMillis - sent.monotonicMillis()) / serverPace.factor(nowMillis);
    if (servicePace.isKnown(nowMillis)) {
      double expected = servicePace.baseMillis() + servicePace.millisPerToken() * tokens;
      double ratio = Math.max(1, millis) / Math.max(1, expected);
      serverPace.add(ratio, nowMillis);
      reports.add(server, ratio);
    }
    servicePace.add(tokens, millis, nowMillis);
    removeOld(nowMillis);
    return true;
  }

  /** Records how much longer than usual work takes at a server now, as it says; 1 is as usual. */
  public void onFactor(String server, double factor, long nowMillis) {
    servers.computeIfAbsent(server, s -> new ServerPace()).setFactor(factor, nowMillis);
  }

  /** Sets the ratios to their services that all nodes together have measured of servers. */
  public void onShared(Map<String, Double> ratioByServer, long nowMillis) {
    ratioByServer.forEach(
        (server, ratio) ->
            servers.computeIfAbsent(server, s -> new ServerPace()).setShared(ratio, nowMillis));
  }

  /** Returns the speed of a server; empty if too little is known of its service. */
  public Optional<Pace> pace(String service, String server, long nowMillis) {
    ServicePace servicePace = services.get(service);
    if (servicePace == null || !servicePace.isKnown(nowMillis)) {
      return Optional.empty();
    }
    ServerPace serverPace = servers.get(server);
    double ratio = serverPace == null ? 1 : serverPace.ratio(nowMillis);
    double factor = serverPace == null ? 1 : serverPace.factor(nowMillis);
    double slowness = ratio * factor;
    return Optional.of(
        new Pace(
            servicePace.baseMillis() * slowness,
            servicePace.millisPerToken() * slowness,
            ratio,
            factor));
  }

  private void removeOld(long nowMillis) {
    if (nowMillis - cleanedMillis > RETENTION_MILLIS) {
      cleanedMillis = nowMillis;
      servers.values().removeIf(pace -> nowMillis - pace.updatedMillis() > RETENTION_MILLIS);
    }
  }
}
