package io.nutmegseam.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The requests that all nodes together may have in flight at a server that falls over if it has to
 * reject too many. Nodes say how many they have, so that a lost message or a node that takes over
 * is made up for by the next message. Until all nodes can have said so, less room is given out.
 * Confined to one thread.
 */
final class RoomQuota {
  /**
   * Share of the slots that is used. The rest covers requests which a node has not reported yet.
   */
  private static final double USED_SHARE = 0.9;

  /** The requests of a node that has not reported for this time are no longer counted. */
  private static final long REPORT_RETENTION_MILLIS = 3_000;

  /** Share of the rejections that the server survives after which it gets no requests. */
  private static final double REJECTIONS_SHARE = 0.5;

  /** No server is expected to survive as many rejections within a second. */
  private static final int MAX_COUNTED_REJECTIONS = 1_000;

  private static final long SECOND_MILLIS = 1_000;

  /** Time within which all nodes with requests at the server report them. */
  private static final double START_MILLIS = 1_000;

  /** Share of the room that is given out at the start. */
  private static final double START_SHARE = 0.5;

  /**
   * A node that takes the place of another one gives out one request more each time this has
   * passed, since the other one may go on granting requests of some nodes.
   */
  private static final double SUBSTITUTE_STEP_MILLIS = 250;

  private final Map<String, Usage> usageByNode = new HashMap<>();
  private final Deque<Long> rejectedMillis = new ArrayDeque<>();
  private int slots = 1;
  private int roomAtRejection = Integer.MAX_VALUE;
  private boolean substitute;
  private long startedMillis = Long.MIN_VALUE / 2;
  private long usedMillis = Long.MIN_VALUE / 2;

  private record Usage(int inFlight, long reportedMillis) {}

  /**
   * Prepares for a request.
   *
   * @param nextSlots number of requests that the server runs at the same time
   * @param isSubstitute whether this node takes the place of the one that grants sends to the
   *     server usually
   * @param nowMillis monotonic time
   */
  void onAsk(int nextSlots, boolean isSubstitute, long nowMillis) {
    slots = Math.max(1, nextSlots);
    if (nowMillis - usedMillis > REPORT_RETENTION_MILLIS) {
      startedMillis = nowMillis;
    }
    usedMillis = nowMillis;
    substitute = isSubstitute;
  }

  /** Sets the number of requests that a node has in flight, or is about to send. */
  void setInFlight(String node, int inFlight, long nowMillis) {
    if (inFlight <= 0) {
      usageByNode.remove(node);
    } else {
      usageByNode.put(node, new Usage(inFlight, nowMillis));
    }
  }

  /** Records that the server has rejected requests for want of room. */
  void onRejected(int requests, long nowMillis) {
    if (requests > 0) {
      roomAtRejection = Math.max(1, Math.min(room(nowMillis), inFlight(nowMillis)) - 1);
      for (int i = 0; i < Math.min(requests, MAX_COUNTED_REJECTIONS); i++) {
        rejectedMillis.addLast(nowMillis);
      }
    }
  }

  /**
   * Takes room for a request of a node.
   *
   * @return whether there is room
   */
  boolean tryTake(String node, double maxRejectionsPerSecond, long nowMillis) {
    int maxRejections = Math.max(1, (int) (REJECTIONS_SHARE * maxRejectionsPerSecond));
    if (recentRejections(nowMillis) >= maxRejections || inFlight(nowMillis) >= room(nowMillis)) {
      return false;
    }
    Usage usage = usageByNode.get(node);
    setInFlight(node, usage == null ? 1 : usage.inFlight() + 1, nowMillis);
    return true;
  }

  /** Returns the room, which grows again by one request for each second without a rejection. */
  private int room(long nowMillis) {
    int usable = usableSlots(nowMillis - startedMillis);
    if (roomAtRejection >= usable || rejectedMillis.isEmpty()) {
      return usable;
    }
    long sinceMillis = nowMillis - rejectedMillis.getLast();
    return (int) Math.min(usable, roomAtRejection + sinceMillis / SECOND_MILLIS);
  }

  private int usableSlots(long ageMillis) {
    double usable = Math.max(1, USED_SHARE * slots);
    double grown =
        substitute
            ? 1 + ageMillis / SUBSTITUTE_STEP_MILLIS
            : usable * Math.max(START_SHARE, ageMillis / START_MILLIS);
    return (int) Math.max(1, Math.min(usable, grown));
  }

  private int inFlight(long nowMillis) {
    usageByNode
        .values()
        .removeIf(usage -> nowMillis - usage.reportedMillis() > REPORT_RETENTION_MILLIS);
    return usageByNode.values().stream().mapToInt(Usage::inFlight).sum();
  }

  /** Returns the rejections within the last second; the latest one is kept for {@link #room}. */
  private int recentRejections(long nowMillis) {
    while (rejectedMillis.size() > 1 && nowMillis - rejectedMillis.getFirst() >= SECOND_MILLIS) {
      rejectedMillis.removeFirst();
    }
    boolean recent =
        !rejectedMillis.isEmpty() && nowMillis - rejectedMillis.getLast() < SECOND_MILLIS;
    return recent ? rejectedMillis.size() : 0;
  }
}
