package io.nutmegseam.node.control;

import io.nutmegseam.core.coldstart.Demand;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Requests, tracks and releases this node's permits of the weight-store budget. */
final class PermitClient {
  private static final long REQUEST_RETRY_MILLIS = 700;
  private static final long MAX_UNUSED_MILLIS = 8_000;

  private final NodeContext context;
  private final MessageSender sender;
  private final Map<String, Permit> permits = new HashMap<>();

  /** Sends messages to the coordinator of the budget. */
  interface MessageSender {
    void sendRequest(String id, boolean adapter, Demand demand);

    void sendRelease(String id);
  }

  private record Permit(
      long requestedAtMillis, long grantedAtMillis, boolean granted, long usedAtMillis) {
    boolean isUsed() {
      return usedAtMillis > 0;
    }
  }

  PermitClient(NodeContext context, MessageSender sender) {
    this.context = context;
    this.sender = sender;
  }

  /** Requests a permit unless it is granted; repeats the request while no grant arrives. */
  void request(String id, boolean adapter, Demand demand) {
    long nowMillis = context.nowMillis();
    Permit permit = permits.get(id);
    boolean upToDate =
        permit != null
            && (permit.granted() || nowMillis - permit.requestedAtMillis() < REQUEST_RETRY_MILLIS);
    if (!upToDate) {
      permits.put(id, new Permit(nowMillis, 0, false, 0));
      sender.sendRequest(id, adapter, demand);
    }
  }

  /** Records a granted permit; releases it if this node no longer needs it. */
  void onGranted(String id) {
    Permit permit = permits.get(id);
    if (permit == null) {
      sender.sendRelease(id);
    } else if (!permit.granted()) {
      permits.put(id, new Permit(permit.requestedAtMillis(), context.nowMillis(), true, 0));
    }
  }

  /** Returns whether a permit is granted and not yet used. */
  boolean isGranted(String id) {
    Permit permit = permits.get(id);
    return permit != null && permit.granted() && !permit.isUsed();
  }

  /** Marks the permit of a load as used; does nothing for a load that needs no permit. */
  void markUsed(String id) {
    Permit permit = permits.get(id);
    if (permit == null) {
      return;
    }
    permits.put(
        id,
        new Permit(
            permit.requestedAtMillis(), permit.grantedAtMillis(), true, context.nowMillis()));
  }

  /**
   * Releases permits that are not needed any more: those of loads that have finished or are no
   * longer needed, those that stay unused for too long, and those used for at least the time of a
   * transfer from the weight store, since the rest of a load does not use the store. Withdraws the
   * requests of loads that are no longer needed.
   *
   * @param isLoading whether the load of a permit's id is in flight
   * @param isNeeded whether the load of a permit's id needs a permit
   * @param transferMillis time of one transfer from the weight store, in milliseconds
   */
  void releaseUnneeded(
      Predicate<String> isLoading, Predicate<String> isNeeded, long transferMillis) {
    for (String id : Set.copyOf(permits.keySet())) {
      Permit permit = permits.get(id);
      boolean expired =
          permit.granted()
              && !permit.isUsed()
              && context.nowMillis() - permit.grantedAtMillis() > MAX_UNUSED_MILLIS;
      boolean transferred = context.nowMillis() - permit.usedAtMillis() >= transferMillis;
      boolean done = permit.isUsed() && (transferred || !isLoading.test(id));
      boolean unneeded = !permit.isUsed() && !isNeeded.test(id);
      if (expired || done || unneeded) {
        permits.remove(id);
        sender.sendRelease(id);
      }
    }
  }
}
