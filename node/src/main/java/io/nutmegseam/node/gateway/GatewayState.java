package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.gateway.GatewayConfig;
import java.util.Optional;

/** Snapshots that the control thread publishes and the traffic thread reads. */
public final class GatewayState {
  private volatile GatewayConfig config;
  private volatile Fleet fleet = Fleet.EMPTY;
  private volatile ExpectedLoadTimes outlook = ExpectedLoadTimes.NONE;
  private volatile boolean fleetKnown;
  private volatile boolean stopping;
  private volatile boolean closed;

  /** Publishes a configuration. */
  public void setConfig(GatewayConfig next) {
    config = next;
  }

  /** Publishes the servers. */
  public void setFleet(Fleet next) {
    fleet = next;
    fleetKnown = true;
  }

  /** Publishes when models are expected to be loaded. */
  void setExpectedLoadTimes(ExpectedLoadTimes next) {
    outlook = next;
  }

  /** Notes that no further request may begin, since the node ends now. */
  public void setClosed() {
    closed = true;
  }

  /** Returns whether no further request may begin. */
  public boolean isClosed() {
    return closed;
  }

  /** Notes that the node shuts down. */
  public void setStopping() {
    stopping = true;
  }

  /** Returns the configuration in force, or empty if none is known yet. */
  public Optional<GatewayConfig> config() {
    return Optional.ofNullable(config);
  }

  /** Returns the servers. */
  public Fleet fleet() {
    return fleet;
  }

  /** Returns when models are expected to be loaded. */
  ExpectedLoadTimes expectedLoadTimes() {
    return outlook;
  }

  /** Returns whether the node takes new connections. */
  public boolean isReady() {
    return config != null && fleetKnown && !stopping;
  }

  /** Returns whether the node shuts down. */
  public boolean isStopping() {
    return stopping;
  }
}
