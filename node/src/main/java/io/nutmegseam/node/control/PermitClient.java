package io.nutmegseam.node.control;

import io.nutmegseam.core.coldstart.Demand;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** The permits of the weight-store budget that this node has asked for or holds. */
final class PermitClient {
  private static final long ASK_AGAIN_MILLIS = 700;
  private static final long UNUSED_PERMIT_MILLIS = 8_000;

  private final NodeContext context;
  private final MessageSender sender;
  private final Map<String, Permit> permits = new HashMap<>();

  /** Sends messages to the coordinator of the budget. */
  interface MessageSender {
    void sendRequest(String id, boolean adapter, Demand demand);

    void sendRelease(String id);
  }

  private record Permit(
      long askedAtMillis, long grantedAtMillis, boolean granted, long usedAtMillis) {
    boolean isUsed() {
      return usedAtMillis > 0;
    }
  }

  PermitClient(NodeContext context, MessageSender sender) {
    this.context = context;
    this.sender = sender;
  }

  /** Asks for a permit, again after a while without an answer. */
  void request(String id, boolean adapter, Demand demand) {
    long nowMillis = context.nowMillis();
    Permit known = permits.get(id);
    boolean fresh =
        known != null && (known.granted() || nowMillis - known.askedAtMillis() < ASK_AGAIN_MILLIS);
    if (!fresh) {
      permits.put(id, new Permit(nowMillis, 0, false, 0));
      sender.sendRequest(id, adapter, demand);
    }
  }

  void onGranted(String id) {
    Permit known = permits.get(id);
    if (known == null) {
      sender.sendRelease(id);
    } else if (!known.granted()) {
      permits.put(id, new Permit(known.askedAtMillis(), context.nowMillis(), true, 0));
    }
  }

  boolean isGranted(String id) {
    Permit known = permits.get(id);
    return known != null && known.granted() && !known.isUsed();
  }

  /** Notes that a load was ordered; a load that needed no permit is passed over. */
  void markUsed(String id) {
    Permit known = permits.get(id);
    if (known == null) {
      return;
    }
    permits.put(
        id, new Permit(known.askedAtMillis(), known.grantedAtMillis(), true, context.nowMillis()));
  }

  /**
   * Gives back the permits of loads that are done or not wanted any more, and of those that have
   * had the time of a transfer from the weight store: what an engine does then needs no permit.
   */
  void releaseUnneeded(
      Predicate<String> isLoading, Predicate<String> isWanted, long transferMillis) {
    for (String id : Set.copyOf(permits.keySet())) {
      Permit permit = permits.get(id);
      boolean stale =
          permit.granted()
              && !permit.isUsed()
              && context.nowMillis() - permit.grantedAtMillis() > UNUSED_PERMIT_MILLIS;
      boolean transferred = context.nowMillis() - permit.usedAtMillis() >= transferMillis;
      boolean done = permit.isUsed() && (transferred || !isLoading.test(id));
      boolean unwanted = !permit.isUsed() && !isWanted.test(id);
      if (stale || done || unwanted) {
        permits.remove(id);
        sender.sendRelease(id);
      }
    }
  }
}
