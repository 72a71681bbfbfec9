package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.node.peer.generated.FleetDemand;
import io.nutmegseam.node.peer.generated.FleetNews;
import io.nutmegseam.node.peer.generated.ModelAsk;
import io.nutmegseam.node.peer.generated.ModelExpectation;
import io.nutmegseam.node.peer.generated.ServerHolding;
import io.nutmegseam.node.peer.generated.ServerUse;
import io.nutmegseam.node.rows.TableUpdateCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Translates demand and news of the fleet to and from peer messages. */
final class FleetPeers {
  private FleetPeers() {}

  /** Returns the message of a node's demand and of its requests at each server. */
  static FleetDemand encode(DemandBook.Report report, long nowMillis) {
    FleetDemand.Builder message =
        FleetDemand.newBuilder().addAllUses(uses(report.outstandingByServer()));
    for (DemandBook.Ask ask : report.asks()) {
      message.addAsks(
          ModelAsk.newBuilder()
              .setService(ask.key().service())
              .setModel(ask.key().ref().model())
              .setAdapter(ask.key().ref().adapter())
              .setWaiting(ask.waiting())
              .setEarliestRemainingMillis(
                  ask.waiting() == 0 ? 0 : ask.earliestDeadlineMillis() - nowMillis)
              .setFresh(ask.fresh())
              .setArrivals(ask.arrivals()));
    }
    return message.build();
  }

  /** Returns the report of a message. */
  static DemandBook.Report decode(FleetDemand message, long nowMillis) {
    List<DemandBook.Ask> asks = new ArrayList<>();
    for (ModelAsk ask : message.getAsksList()) {
      ModelRef ref = new ModelRef(ask.getModel(), ask.getAdapter());
      long deadlineMillis =
          ask.getWaiting() == 0 ? Long.MAX_VALUE : nowMillis + ask.getEarliestRemainingMillis();
      asks.add(
          new DemandBook.Ask(
              new WaitingRoom.Key(ask.getService(), ref),
              ask.getWaiting(),
              ask.getFresh(),
              deadlineMillis,
              ask.getArrivals()));
    }
    return new DemandBook.Report(asks, outstanding(message.getUsesList()));
  }

  /** Returns requests under way at each server as peers write them. */
  static List<ServerUse> uses(Map<String, Integer> outstandingByServer) {
    List<ServerUse> uses = new ArrayList<>();
    outstandingByServer.forEach(
        (server, count) ->
            uses.add(ServerUse.newBuilder().setServer(server).setOutstanding(count).build()));
    return uses;
  }

  /** Returns requests under way at each server as peers have written them. */
  static Map<String, Integer> outstanding(List<ServerUse> uses) {
    Map<String, Integer> outstandingByServer = new HashMap<>();
    uses.forEach(use -> outstandingByServer.put(use.getServer(), use.getOutstanding()));
    return outstandingByServer;
  }

  /**
   * Returns the message of news.
   *
   * @param inventories what servers hold
   * @param readyAtMillis when models are expected
   * @param nodes nodes that share fleet-wide limits
   * @param nowMillis monotonic time of the sender
   */
  static FleetNews encode(
      Map<Incarnation, Inventory> inventories,
      Map<ModelRef, Long> readyAtMillis,
      int nodes,
      long nowMillis) {
    FleetNews.Builder message = FleetNews.newBuilder().setNodes(nodes);
    inventories.forEach((server, held) -> message.addHoldings(holding(server, held)));
    readyAtMillis.forEach(
        (ref, atMillis) ->
            message.addExpectations(
                ModelExpectation.newBuilder()
                    .setModel(ref.model())
                    .setAdapter(ref.adapter())
                    .setRemainingMillis(atMillis - nowMillis)));
    return message.build();
  }

  /** Returns what servers hold, of a message. */
  static Map<Incarnation, Inventory> inventories(FleetNews message) {
    Map<Incarnation, Inventory> inventories = new HashMap<>();
    for (ServerHolding holding : message.getHoldingsList()) {
      inventories.put(
          new Incarnation(holding.getServer(), holding.getBornMillis()),
          new Inventory(
              holding.getOrderCount(),
              holding.getBusy(),
              TableUpdateCodec.decodeLoadedModels(holding.getModelsList()),
              Set.of(),
              Set.of()));
    }
    return inventories;
  }

  /** Returns when models are expected, of a message. */
  static Map<ModelRef, Long> expectations(FleetNews message, long nowMillis) {
    Map<ModelRef, Long> readyAtMillis = new HashMap<>();
    message
        .getExpectationsList()
        .forEach(
            e ->
                readyAtMillis.put(
                    new ModelRef(e.getModel(), e.getAdapter()),
                    nowMillis + e.getRemainingMillis()));
    return readyAtMillis;
  }

  private static ServerHolding holding(Incarnation server, Inventory held) {
    return ServerHolding.newBuilder()
        .setServer(server.id())
        .setBornMillis(server.bornMillis())
        .setOrderCount(held.orderCount())
        .setBusy(held.busy())
        .addAllModels(TableUpdateCodec.encodeLoadedModels(held.adaptersByModel()))
        .build();
  }
}
