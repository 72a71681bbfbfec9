package io.nutmegseam.node.gateway;

import io.nutmegseam.node.body.BodyMemory;
import io.nutmegseam.node.log.BoundedEventLog;
import io.nutmegseam.node.pace.RemoteTraffic;
import io.nutmegseam.node.peer.PeerTrafficCounter;
import io.nutmegseam.node.quota.SendQuotas;

/** The metrics of a node that are read from its components. */
record NodeGauges(
    GatewayServer server,
    StoreWatcher store,
    SendQuotas quotas,
    ServerReach reach,
    BodyMemory bodies,
    BoundedEventLog events) {
  /** Registers the bytes exchanged with other data centres; returns what counts them. */
  static RemoteTraffic registerRemoteTraffic(
      GatewayMetrics metrics, TrafficContext context, PeerTrafficCounter peers) {
    RemoteTraffic remote =
        new RemoteTraffic(context.chooser().paces().remoteBytes(), peers, context.events());
    metrics.registerCounters(
        "remote_bytes", "Bytes to and from other data centres", "kind", remote::totals);
    return remote;
  }

  void register(GatewayMetrics metrics) {
    metrics.registerGauge("in_flight", "Requests in flight", server::inFlight);
    metrics.registerGauge(
        "servers_age_seconds",
        "Age of what is known of the servers",
        () -> store.serversAgeMillis() / 1e3);
    metrics.registerGauge(
        "store_era", "Era of the store; rises when it returns from an older copy", store::storeEra);
    metrics.registerGauge(
        "config_age_seconds",
        "Provable age of the configuration; -1 if it is unknown",
        store.configAges()::ageSeconds);
    metrics.registerGauge("limited_servers", "Servers that name limits", quotas::limitedCount);
    metrics.registerGauge(
        "servers_reached",
        "Whether this node reaches servers: 2 for most, 1 for less than half, 0 for none",
        () -> reach.reach().level());
    metrics.registerGauge(
        "body_bytes", "Memory of request bodies, in bytes", bodies::reservedBytes);
    metrics.registerGauge(
        "waiting_bodies", "Request bodies that wait for memory", bodies::waitingCount);
    metrics.registerCounter("log_dropped", "Log lines dropped", events::droppedCount);
  }
}
