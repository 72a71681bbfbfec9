package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.node.allotment.Allotments;
import io.nutmegseam.node.control.ControlThread;
import io.nutmegseam.node.peer.generated.LeavingServer;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.quota.SendQuotas;
import io.nutmegseam.node.relay.FleetNewsRelay;
import io.nutmegseam.node.rows.OutageInquiry;
import io.nutmegseam.node.tenant.ConfigAgeExchange;
import java.time.InstantSource;

/** Hands the frames of other nodes to their receivers, each on the thread of the receiver. */
final class PeerFrameRouter {
  private final Dependencies dependencies;

  /** The threads and the receivers of frames. */
  record Dependencies(
      ControlThread thread,
      TrafficContext traffic,
      InstantSource clock,
      DemandAggregator demand,
      StoreWatcher store,
      CrashProtection crashes,
      FleetStateExchange fleetStates,
      FleetNewsRelay relay) {}

  /**
   * Creates a router.
   *
   * @param dependencies the threads and the receivers
   */
  PeerFrameRouter(Dependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Handles the frames about requests and servers on the traffic thread, and all others on the
   * control one. A frame of a kind that this build does not know is ignored.
   */
  void route(String node, PeerFrame frame) {
    TrafficContext traffic = dependencies.traffic();
    if (StreamOrigins.accepts(frame)) {
      traffic.loop().execute(() -> traffic.origins().onFrame(node, frame));
    } else if (frame.hasHeartbeat()) {
      boolean takesRequests = frame.getHeartbeat().getTakesRequests();
      traffic.loop().execute(() -> traffic.peers().onNews(node, takesRequests));
    } else if (frame.hasLeavingServer()) {
      LeavingServer news = frame.getLeavingServer();
      Incarnation server = new Incarnation(news.getServer(), news.getBornMillis());
      traffic.loop().execute(() -> traffic.leaving().onNews(node, server));
    } else if (SendQuotas.accepts(frame)) {
      traffic.loop().execute(() -> traffic.quotas().onFrame(node, frame));
    } else if (Allotments.accepts(frame)) {
      traffic.loop().execute(() -> traffic.allotments().onFrame(node, frame));
    } else {
      dependencies.thread().execute(() -> onControlFrame(node, frame));
    }
  }

  private void onControlFrame(String node, PeerFrame frame) {
    InstantSource clock = dependencies.clock();
    if (frame.hasFleetDemand()) {
      dependencies.relay().onReport(node, frame.getFleetDemand());
      dependencies.fleetStates().onReport(frame.getFleetDemand());
      dependencies
          .demand()
          .onReport(node, FleetCodec.decode(frame.getFleetDemand(), clock.millis()));
    } else if (frame.hasStoreNews()) {
      dependencies.store().onUpdate(node, frame.getStoreNews());
    } else if (frame.hasRowWriteAsk() || frame.hasRowWriteAnswer()) {
      dependencies.store().onWriteMessage(node, frame);
    } else if (OutageInquiry.accepts(frame)) {
      dependencies.store().outages().onFrame(node, frame);
    } else if (ConfigAgeExchange.accepts(frame)) {
      dependencies.store().configAges().onFrame(node, frame);
    } else if (frame.hasCrashNews()) {
      dependencies.crashes().onNews(node, frame.getCrashNews());
    } else if (frame.hasFleetNews()) {
      dependencies.fleetStates().onUpdate(node, frame.getFleetNews());
    }
  }
}
