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
  private final PermitSender sender;
  private final Map<String, Permit> permits = new HashMap<>();

  /** Sends messages to the coordinator of the budget. */
  interface PermitSender {
    void ask(String id, boolean adapter, Demand demand);

    void release(String id);
  }

  private record Permit(long askedAtMillis, long grantedAtMillis, boolean granted, boolean used) {}

  PermitClient(NodeContext context, PermitSender sender) {
    this.context = context;
    this.sender = sender;
  }

  /** Asks for a permit, again after a while without an answer. */
  void ask(String id, boolean adapter, Demand demand) {
    long nowMillis = context.nowMillis();
    Permit known = permits.get(id);
    boolean fresh =
        known != null && (known.granted() || nowMillis - known.askedAtMillis() < ASK_AGAIN_MILLIS);
    if (!fresh) {
      permits.put(id, new Permit(nowMillis, 0, false, false));
      sender.ask(id, adapter, demand);
    }
  }

  void onGranted(String id) {
    Permit known = permits.get(id);
    if (known == null) {
      sender.release(id);
    } else if (!known.granted()) {
      permits.put(id, new Permit(known.askedAtMillis(), context.nowMillis(), true, false));
    }
  }

  boolean isGranted(String id) {
    Permit known = permits.get(id);
    return known != null && known.granted() && !known.used();
  }

  /** Notes that the load of a permit was ordered. */
  void use(String id) {
    Permit known = permits.get(id);
    permits.put(id, new Permit(known.askedAtMillis(), known.grantedAtMillis(), true, true));
  }

  /** Gives back the permits of loads that are done or not wanted any more. */
  void releaseAll(Predicate<String> isLoading, Predicate<String> isWanted) {
    for (String id : Set.copyOf(permits.keySet())) {
      Permit permit = permits.get(id);
      boolean stale =
          permit.granted()
              && !permit.used()
              && context.nowMillis() - permit.grantedAtMillis() > UNUSED_PERMIT_MILLIS;
      boolean done = permit.used() && !isLoading.test(id);
      boolean unwanted = !permit.used() && !isWanted.test(id);
      if (stale || done || unwanted) {
        permits.remove(id);
        sender.release(id);
      }
    }
  }
}
