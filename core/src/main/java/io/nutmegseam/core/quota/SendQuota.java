package io.nutmegseam.core.quota;

/**
 * The requests that all nodes together may send to one server: a token bucket from which requests
 * that wait reserve tokens in advance. Confined to one thread.
 */
public final class SendQuota {
  /**
   * Share of a limit that is granted. The rest covers requests that are sent before their node has
   * heard of the limit.
   */
  private static final double USED_SHARE = 0.9;

  /** The bucket holds what the limit allows in this time. */
  private static final double BURST_SECONDS = 0.5;

  private static final double MIN_BURST = 2;

  /** Tokens that are left to requests that no other server can serve. */
  private static final double RESERVED_TOKENS = 1;

  /**
   * A server that has just named a limit still has the requests of the moment before. For this time
   * it gets only requests that no other server can serve.
   */
  private static final long SETTLE_MILLIS = 3_000;

  /** A server whose limit is 0 still gets a request now and then, which shows when it ends. */
  private static final double MIN_PER_SECOND = 0.1;

  private static final double MILLIS_PER_SECOND = 1_000;

  private double perSecond = MIN_PER_SECOND;
  private final long settledMillis;
  private double tokens = 1;
  private long updatedMillis;

  /**
   * The decision on a request.
   *
   * @param granted whether the request may be sent
   * @param waitMillis if granted, the time after which it may be sent; else, the time after which
   *     it could have been
   */
  public record Decision(boolean granted, long waitMillis) {
    /** The decision for a server without limit. */
    public static final Decision AT_ONCE = new Decision(true, 0);
  }

  /**
   * Creates a quota from which one request can be sent at once.
   *
   * @param nowMillis monotonic time
   */
  public SendQuota(long nowMillis) {
    updatedMillis = nowMillis;
    settledMillis = nowMillis + SETTLE_MILLIS;
  }

  /**
   * Sets the limit.
   *
   * @param limitPerSecond requests per second that the server accepts
   * @param nowMillis monotonic time
   */
  public void setLimit(double limitPerSecond, long nowMillis) {
    refill(nowMillis);
    perSecond = Math.max(MIN_PER_SECOND, USED_SHARE * limitPerSecond);
    tokens = Math.min(tokens, burst());
  }

  /**
   * Takes a token for a request, or reserves one that the request can wait for.
   *
   * @param maxWaitMillis longest time for which the request can wait, in milliseconds
   * @param hasAlternative whether a server without limit can serve the request
   * @param nowMillis monotonic time
   */
  public Decision request(long maxWaitMillis, boolean hasAlternative, long nowMillis) {
    refill(nowMillis);
    if (hasAlternative && nowMillis < settledMillis) {
      return new Decision(false, settledMillis - nowMillis);
    }
    double missing = 1 + (hasAlternative ? RESERVED_TOKENS : 0) - tokens;
    long waitMillis = missing <= 0 ? 0 : (long) Math.ceil(missing / perSecond * MILLIS_PER_SECOND);
    if (waitMillis > maxWaitMillis) {
      return new Decision(false, waitMillis);
    }
    tokens--;
    return new Decision(true, waitMillis);
  }

  /** Takes tokens for requests that were sent without asking. */
  public void charge(int requests, long nowMillis) {
    refill(nowMillis);
    tokens = Math.max(Math.min(tokens, -burst()), tokens - requests);
  }

  /** Gives back tokens of requests that were not sent. */
  public void giveBack(int requests, long nowMillis) {
    refill(nowMillis);
    tokens = Math.min(burst(), tokens + requests);
  }

  private void refill(long nowMillis) {
    double added = (nowMillis - updatedMillis) / MILLIS_PER_SECOND * perSecond;
    tokens = Math.min(burst(), tokens + added);
    updatedMillis = nowMillis;
  }

  private double burst() {
    return Math.max(MIN_BURST, perSecond * BURST_SECONDS);
  }
}
