package io.nutmegseam.core.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Grants sends to servers with limits on behalf of all nodes. One node grants the sends to a
 * server; the others ask it. Confined to one thread.
 */
public final class SendLimiter {
  /** A quota that nobody has used for this time is removed. */
  private static final long RETENTION_MILLIS = 60_000;

  /** Nodes that have asked within this time are expected to ask again. */
  private static final long ASKING_MILLIS = 5_000;

  /** Shortest and longest time for which a node whose requests have alternatives does not ask. */
  private static final long MIN_PAUSE_MILLIS = 250;

  private static final long MAX_PAUSE_MILLIS = 4_000;

  /**
   * Nodes that are told to ask again later ask together this many times for each request that is
   * granted, so that the number of asks does not grow with the number of nodes.
   */
  private static final double ASKS_PER_GRANT = 3;

  /** Time after which a node asks again for room at a server. */
  private static final long ROOM_PAUSE_MILLIS = 50;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Map<String, Quota> quotaByProcess = new HashMap<>();

  private static final class Quota {
    private final SendQuota sends;
    private final RoomQuota room = new RoomQuota();
    private final Map<String, Long> askedMillisByNode = new HashMap<>();
    private long usedMillis;

    private Quota(long nowMillis) {
      sends = new SendQuota(nowMillis);
    }
  }

  /**
   * A request for which a node asks.
   *
   * @param node the node
   * @param maxWaitMillis longest time for which the request can wait, in milliseconds
   * @param hasAlternative whether a server without limit can serve the request
   * @param inFlight requests that the node has in flight at the server or is about to send
   * @param slots requests that the server runs at the same time
   * @param substitute whether the granting node takes the place of another one, which does not
   *     answer the asking node
   */
  public record Ask(
      String node,
      long maxWaitMillis,
      boolean hasAlternative,
      int inFlight,
      int slots,
      boolean substitute) {}

  /**
   * What a node reports on its requests to a server.
   *
   * @param node the node
   * @param sent requests that it sent without asking
   * @param unused requests that it did not send despite a grant
   * @param rejected requests that the server rejected for want of room
   * @param inFlight requests that it has in flight at the server or is about to send
   */
  public record Report(String node, int sent, int unused, int rejected, int inFlight) {}

  /**
   * Decides on a request.
   *
   * @param process the process of the server
   * @param limits its limits
   * @param ask the request
   * @param nowMillis monotonic time
   */
  public SendQuota.Decision decide(String process, ServerLimits limits, Ask ask, long nowMillis) {
    if (limits.isNone()) {
      quotaByProcess.remove(process);
      return SendQuota.Decision.AT_ONCE;
    }
    Quota quota = quota(process, limits, nowMillis);
    quota.askedMillisByNode.put(ask.node(), nowMillis);
    if (limits.isBrittle()) {
      quota.room.onAsk(ask.slots(), ask.substitute(), nowMillis);
      quota.room.setInFlight(ask.node(), ask.inFlight(), nowMillis);
      if (!quota.room.tryTake(ask.node(), limits.rejectionsPerSecond(), nowMillis)) {
        return new SendQuota.Decision(false, ROOM_PAUSE_MILLIS);
      }
    }
    if (!limits.isRateLimited()) {
      return SendQuota.Decision.AT_ONCE;
    }
    SendQuota.Decision decision =
        quota.sends.request(ask.maxWaitMillis(), ask.hasAlternative(), nowMillis);
    if (limits.isBrittle() && !decision.granted()) {
      quota.room.setInFlight(ask.node(), ask.inFlight(), nowMillis);
    }
    return decision.granted() || !ask.hasAlternative()
        ? decision
        : new SendQuota.Decision(
            false, pauseMillis(quota, limits, decision.waitMillis(), nowMillis));
  }

  /** Returns after what time a node that was denied a send may ask again. */
  private static long pauseMillis(
      Quota quota, ServerLimits limits, long waitMillis, long nowMillis) {
    quota.askedMillisByNode.values().removeIf(asked -> nowMillis - asked > ASKING_MILLIS);
    double turnMillis =
        quota.askedMillisByNode.size()
            * MILLIS_PER_SECOND
            / (ASKS_PER_GRANT * limits.requestsPerSecond());
    return Math.min(
        MAX_PAUSE_MILLIS, Math.max(MIN_PAUSE_MILLIS, Math.max(waitMillis, (long) turnMillis)));
  }

  /** Takes account of what a node reports. */
  public void report(String process, ServerLimits limits, Report report, long nowMillis) {
    if (limits.isNone()) {
      return;
    }
    Quota quota = quota(process, limits, nowMillis);
    if (limits.isRateLimited()) {
      quota.sends.charge(report.sent(), nowMillis);
      quota.sends.giveBack(report.unused(), nowMillis);
    }
    if (limits.isBrittle()) {
      quota.room.onRejected(report.rejected(), nowMillis);
      quota.room.setInFlight(report.node(), report.inFlight(), nowMillis);
    }
  }

  private Quota quota(String process, ServerLimits limits, long nowMillis) {
    if (!quotaByProcess.containsKey(process)) {
      quotaByProcess.values().removeIf(quota -> nowMillis - quota.usedMillis > RETENTION_MILLIS);
      quotaByProcess.put(process, new Quota(nowMillis));
    }
    Quota quota = quotaByProcess.get(process);
    if (limits.isRateLimited()) {
      quota.sends.setLimit(limits.requestsPerSecond(), nowMillis);
    }
    quota.usedMillis = nowMillis;
    return quota;
  }
}
