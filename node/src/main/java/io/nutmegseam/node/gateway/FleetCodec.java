package io.nutmegseam.node.gateway;

import io.nutmegseam.core.dispatch.WaitingClass;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.node.peer.generated.FleetDemand;
import io.nutmegseam.node.peer.generated.FleetNews;
import io.nutmegseam.node.peer.generated.ModelAsk;
import io.nutmegseam.node.peer.generated.ModelExpectation;
import io.nutmegseam.node.peer.generated.ServerHolding;
import io.nutmegseam.node.peer.generated.ServerUse;
import io.nutmegseam.node.peer.generated.WaitingRank;
import io.nutmegseam.node.rows.TableUpdateCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Converts demand reports and fleet updates to and from peer messages. Messages carry remaining
 * times, since the monotonic clocks of two nodes cannot be compared.
 */
final class FleetCodec {
  private FleetCodec() {}

  /** Returns the peer message of a node's demand report. */
  static FleetDemand encode(DemandAggregator.Report report, long nowMillis) {
    FleetDemand.Builder message =
        FleetDemand.newBuilder().addAllUses(encodeOutstanding(report.outstandingByServer()));
    for (DemandAggregator.ModelReport model : report.modelReports()) {
      message.addAsks(
          ModelAsk.newBuilder()
              .setService(model.key().service())
              .setModel(model.key().ref().model())
              .setAdapter(model.key().ref().adapter())
              .setWaiting(model.waiting())
              .setEarliestRemainingMillis(
                  model.waiting() == 0 ? 0 : model.earliestDeadlineMillis() - nowMillis)
              .setFresh(model.meetable())
              .setArrivals(model.arrivals())
              .addAllRanks(encodeClasses(model.classes(), nowMillis)));
    }
    report
        .adapterRuns()
        .ifPresent(
            runs ->
                message
                    .setListsAdapterUses(true)
                    .addAllAdapterUses(AdapterRunsCodec.encode(runs, nowMillis)));
    return message.build();
  }

  /** Returns the demand report in a peer message. */
  static DemandAggregator.Report decode(FleetDemand message, long nowMillis) {
    List<DemandAggregator.ModelReport> modelReports = new ArrayList<>();
    for (ModelAsk modelReport : message.getAsksList()) {
      ModelRef ref = new ModelRef(modelReport.getModel(), modelReport.getAdapter());
      long deadlineMillis =
          modelReport.getWaiting() == 0
              ? Long.MAX_VALUE
              : nowMillis + modelReport.getEarliestRemainingMillis();
      modelReports.add(
          new DemandAggregator.ModelReport(
              new ModelWaitQueue.Key(modelReport.getService(), ref),
              modelReport.getWaiting(),
              modelReport.getFresh(),
              deadlineMillis,
              modelReport.getArrivals(),
              decodeClasses(modelReport.getRanksList(), nowMillis)));
    }
    return new DemandAggregator.Report(
        modelReports,
        decodeOutstanding(message.getUsesList()),
        message.getListsAdapterUses()
            ? Optional.of(AdapterRunsCodec.decode(message.getAdapterUsesList(), nowMillis))
            : Optional.empty());
  }

  private static List<WaitingRank> encodeClasses(List<WaitingClass> classes, long nowMillis) {
    List<WaitingRank> messages = new ArrayList<>();
    for (WaitingClass one : classes) {
      messages.add(
          WaitingRank.newBuilder()
              .setPriority(one.priority())
              .setWaiting(one.waiting())
              .setMeetable(one.meetable())
              .setTargetRemainingMillis(
                  one.meetable() == 0 ? 0 : one.earliestTargetMillis() - nowMillis)
              .build());
    }
    return messages;
  }

  private static List<WaitingClass> decodeClasses(List<WaitingRank> messages, long nowMillis) {
    List<WaitingClass> classes = new ArrayList<>();
    for (WaitingRank message : messages) {
      long targetMillis =
          message.getMeetable() == 0
              ? Long.MAX_VALUE
              : nowMillis + message.getTargetRemainingMillis();
      classes.add(
          new WaitingClass(
              message.getPriority(), message.getWaiting(), message.getMeetable(), targetMillis));
    }
    return classes;
  }

  /** Returns the peer messages of the requests in flight at each server. */
  static List<ServerUse> encodeOutstanding(Map<String, Integer> outstandingByServer) {
    List<ServerUse> messages = new ArrayList<>();
    outstandingByServer.forEach(
        (server, count) ->
            messages.add(ServerUse.newBuilder().setServer(server).setOutstanding(count).build()));
    return messages;
  }

  /** Returns the requests in flight at each server, from peer messages. */
  static Map<String, Integer> decodeOutstanding(List<ServerUse> messages) {
    Map<String, Integer> outstandingByServer = new HashMap<>();
    messages.forEach(
        message -> outstandingByServer.put(message.getServer(), message.getOutstanding()));
    return outstandingByServer;
  }

  /**
   * Returns the peer message of a fleet update, without requests in flight.
   *
   * @param inventories inventory of each server to include
   * @param readyAtMillis monotonic time at which each model is expected to be loaded
   * @param nodes number of nodes that share fleet-wide limits
   * @param nowMillis monotonic time of the sender
   */
  static FleetNews encode(
      Map<Incarnation, Inventory> inventories,
      Map<ModelRef, Long> readyAtMillis,
      int nodes,
      long nowMillis) {
    FleetNews.Builder message = FleetNews.newBuilder().setNodes(nodes);
    inventories.forEach(
        (server, inventory) -> message.addHoldings(encodeInventory(server, inventory)));
    readyAtMillis.forEach(
        (ref, atMillis) ->
            message.addExpectations(
                ModelExpectation.newBuilder()
                    .setModel(ref.model())
                    .setAdapter(ref.adapter())
                    .setRemainingMillis(atMillis - nowMillis)));
    return message.build();
  }

  /** Returns the inventories in a fleet update; these list no weight copies. */
  static Map<Incarnation, Inventory> decodeInventories(FleetNews message) {
    Map<Incarnation, Inventory> inventories = new HashMap<>();
    for (ServerHolding serverInventory : message.getHoldingsList()) {
      inventories.put(
          new Incarnation(serverInventory.getServer(), serverInventory.getBornMillis()),
          new Inventory(
              serverInventory.getOrderCount(),
              serverInventory.getBusy(),
              TableUpdateCodec.decodeLoadedModels(serverInventory.getModelsList()),
              Set.of(),
              Set.of()));
    }
    return inventories;
  }

  /** Returns the local monotonic time at which each model in a fleet update is expected. */
  static Map<ModelRef, Long> decodeExpectedLoadTimes(FleetNews message, long nowMillis) {
    Map<ModelRef, Long> readyAtMillis = new HashMap<>();
    message
        .getExpectationsList()
        .forEach(
            expectation ->
                readyAtMillis.put(
                    new ModelRef(expectation.getModel(), expectation.getAdapter()),
                    nowMillis + expectation.getRemainingMillis()));
    return readyAtMillis;
  }

  private static ServerHolding encodeInventory(Incarnation server, Inventory inventory) {
    return ServerHolding.newBuilder()
        .setServer(server.id())
        .setBornMillis(server.startedAtMillis())
        .setOrderCount(inventory.orderCount())
        .setBusy(inventory.busy())
        .addAllModels(TableUpdateCodec.encodeLoadedModels(inventory.adaptersByModel()))
        .build();
  }
}
