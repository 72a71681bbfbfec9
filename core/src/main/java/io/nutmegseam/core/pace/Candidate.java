package io.nutmegseam.core.pace;

/**
 * A server that can run a request.
 *
 * @param server id of the server
 * @param local whether it is in the data centre of this node
 * @param cached whether it has probably cached the shared part of the prompt
 * @param pace its speed
 * @param tokensAhead prompt tokens that it has to process before the request
 * @param longAhead whether one of these prompts is long
 * @param utilisation share of its slots in use, with the request; may exceed 1
 * @param holdMillis time for which a request uses a slot, in milliseconds
 * @param overdueMillis time for which a first event has been outstanding there, in milliseconds
 */
public record Candidate(
    String server,
    boolean local,
    boolean cached,
    Pace pace,
    long tokensAhead,
    boolean longAhead,
    double utilisation,
    double holdMillis,
    double overdueMillis) {
  /** The first event waits for a step of the batch, which grows with the requests in it. */
  private static final double MIN_STEP_MILLIS = 10;

  /** Returns the time that the server needs to process the prompt of a request alone. */
  double prefillMillis(PromptRequest request) {
    return pace.millisPerToken() * request.tokensToProcess(cached);
  }

  /** Returns the expected time to the first event, in milliseconds. */
  public double expectedMillis(PromptRequest request) {
    double ahead = pace.millisPerToken() * tokensAhead;
    double step = Math.max(MIN_STEP_MILLIS, pace.baseMillis()) * Math.min(1, utilisation);
    double slotWait = Math.max(0, utilisation - 1) * holdMillis;
    // A request that is overdue by more than the prompts ahead explain has met a stall.
    double stall = Math.max(0, overdueMillis - pace.millis((double) tokensAhead));
    return pace.baseMillis() + ahead + prefillMillis(request) + step + slotWait + stall;
  }
}
