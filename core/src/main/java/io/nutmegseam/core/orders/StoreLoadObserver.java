package io.nutmegseam.core.orders;

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
