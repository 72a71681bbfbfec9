package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.fleet.ServerEntry;

/**
 * Tells the limiter of the weight store what the reports of servers show of the loads that were
 * ordered. Confined to one thread.
 */
public final class StoreLoadObserver {
  private final StoreLoadLimiter storeLoads;

  /**
   * Creates an observer.
   *
   * @param storeLoads the loads from the weight store
   */
  public StoreLoadObserver(StoreLoadLimiter storeLoads) {
    this.storeLoads = storeLoads;
  }

  /**
   * Creates the tracker of a server that has not reported yet, with the load that an earlier tenure
   * of the order lease ordered there.
   */
  public OrderTracker announcedTracker(ServerEntry entry, long nowMillis) {
    OrderTracker tracker = new OrderTracker(entry.inventory());
    resume(tracker, entry.incarnation(), nowMillis);
    return tracker;
  }

  /**
   * Creates the tracker of a server from its first report in a tenure. A busy server continues with
   * the load that an earlier tenure ordered there.
   *
   * @param server the server
   * @param reported its inventory
   * @param earlierHolderEndMillis monotonic time at which the holder of the lease before has sent
   *     its last order, at the latest
   * @param nowMillis monotonic time
   */
  public OrderTracker reportedTracker(
      Incarnation server, Inventory reported, long earlierHolderEndMillis, long nowMillis) {
    OrderTracker tracker = new OrderTracker(reported, earlierHolderEndMillis);
    if (reported.busy()) {
      resume(tracker, server, nowMillis);
      if (tracker.pending().isPresent()) {
        storeLoads.onTracked(server.toString(), nowMillis);
      }
    }
    return tracker;
  }

  private void resume(OrderTracker tracker, Incarnation server, long nowMillis) {
    storeLoads
        .untrackedLoad(server.toString(), nowMillis)
        .filter(load -> !load.model().isEmpty())
        .ifPresent(load -> tracker.onResumed(storeLoad(server, load.model()), load, nowMillis));
  }

  private static ModelOrder storeLoad(Incarnation server, String model) {
    return new ModelOrder(
        server, ModelOrder.Operation.LOAD, new ModelRef(model, ""), LoadSource.STORE);
  }

  /**
   * Records the progress of a store load as a report of its server shows it.
   *
   * @param order the order of the load
   * @param tracker orders of the server, to which the report was applied
   * @param wasAccepted whether the server was known to carry out the order before the report
   * @param nowMillis monotonic time
   */
  public void onReport(
      ModelOrder order, OrderTracker tracker, boolean wasAccepted, long nowMillis) {
    String server = order.server().toString();
    if (tracker.isAccepted() && wasAccepted) {
      storeLoads.onProgress(server, nowMillis);
    } else if (tracker.isAccepted()) {
      storeLoads.onAccepted(server, nowMillis);
    } else if (tracker.pending().isEmpty()) {
      onEnded(order, tracker, nowMillis);
    }
  }

  /**
   * Records the end of a load, or of its order, with the inventory that shows it. A busy server
   * whose order count has not risen carries out an earlier order.
   */
  private void onEnded(ModelOrder order, OrderTracker tracker, long nowMillis) {
    String server = order.server().toString();
    if (tracker.inventory().hasLoaded(order.ref())) {
      storeLoads.onDone(server, nowMillis);
    } else if (tracker.inventory().busy() && tracker.mayHaveBegun()) {
      // The server carries out this order, or another one.
      storeLoads.onUntracked(server, nowMillis);
    } else {
      storeLoads.onNotLoaded(server, nowMillis);
    }
  }
}
