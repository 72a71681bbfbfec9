package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.node.pace.PaceSharing;
import io.nutmegseam.node.peer.generated.FleetDemand;
import io.nutmegseam.node.peer.generated.FleetNews;
import io.nutmegseam.node.relay.FleetNewsRelay;
import java.time.InstantSource;
import java.util.Map;

/**
 * Sends the state of the servers, as the order lease holder has read it, to the other nodes, and
 * applies it at each of them. Confined to the control thread.
 */
final class FleetStateExchange {
  private final Dependencies dependencies;
  private final InstantSource clock;
  private final DemandAggregator demand;
  private final FleetUpdateBuilder updates;
  private final PaceSharing paces;

  /** Collaborators of the exchange. */
  record Dependencies(
      InstantSource clock,
      DemandAggregator demand,
      FleetNewsRelay relay,
      FleetControl fleet,
      GatewayState state,
      TrafficContext traffic) {}

  /**
   * Creates an exchange that has sent nothing.
   *
   * @param dependencies collaborators of the exchange
   */
  FleetStateExchange(Dependencies dependencies) {
    this.dependencies = dependencies;
    this.clock = dependencies.clock();
    this.demand = dependencies.demand();
    this.updates = new FleetUpdateBuilder(clock);
    this.paces = new PaceSharing(dependencies.traffic().chooser().paces().reports(), clock);
  }

  /** Sends the server states read by this lease holder to its peers, and applies them itself. */
  void publish(Map<Incarnation, Inventory> inventories, Map<ModelRef, Long> readyAtMillis) {
    FleetUpdateBuilder.FleetSnapshot snapshot =
        new FleetUpdateBuilder.FleetSnapshot(
            inventories, readyAtMillis, demand.outstandingByServer(), demand.reportingNodes());
    updates
        .nextUpdate(snapshot)
        .map(paces::addTo)
        .ifPresent(
            update -> {
              dependencies.relay().publish(update);
              apply(inventories, readyAtMillis, update);
            });
  }

  /** Adds the measured speeds of servers to a report of this node. */
  FleetDemand addTo(FleetDemand report) {
    return paces.addTo(report);
  }

  /** Records the measured speeds of servers in a report of another node. */
  void onReport(FleetDemand report) {
    paces.onReport(report);
  }

  /** Applies an update of the order lease holder that a node has sent. */
  void onUpdate(String node, FleetNews update) {
    dependencies.relay().onNews(node, update);
    apply(
        FleetCodec.decodeInventories(update),
        FleetCodec.decodeExpectedLoadTimes(update, clock.millis()),
        update);
  }

  private void apply(
      Map<Incarnation, Inventory> inventories,
      Map<ModelRef, Long> readyAtMillis,
      FleetNews update) {
    inventories.forEach(dependencies.fleet()::onInventory);
    dependencies.state().setExpectedLoadTimes(new ExpectedLoadTimes(readyAtMillis));
    TrafficContext traffic = dependencies.traffic();
    if (update.getPacesCount() > 0) {
      Map<String, Double> ratios = PaceSharing.decode(update.getPacesList());
      traffic.loop().execute(() -> traffic.chooser().paces().onShared(ratios));
    }
    if (update.getUsesCount() > 0) {
      traffic
          .loop()
          .execute(
              () -> traffic.loads().onTotals(FleetCodec.decodeOutstanding(update.getUsesList())));
    }
    dependencies.fleet().publish();
  }
}
