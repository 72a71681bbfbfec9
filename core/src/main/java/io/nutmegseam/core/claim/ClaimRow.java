package io.nutmegseam.core.claim;

/**
 * The claim row of one idempotency key.
 *
 * @param attempt id of the attempt that holds the claim
 * @param node node that runs the attempt
 * @param incarnation incarnation of that node
 * @param fingerprint hash of the request body
 * @param state progress of the call
 * @param status HTTP status of the stored response; 0 if none is known
 * @param contentType content type of the stored response; empty if none is known
 * @param answerBase64 body of the stored response; empty if it was too large or is unknown
 * @param writtenAtMillis wall-clock time of the write, from which the retention and the longest
 *     duration of the call are counted
 */
public record ClaimRow(
    String attempt,
    String node,
    String incarnation,
    String fingerprint,
    State state,
    int status,
    String contentType,
    String answerBase64,
    long writtenAtMillis) {
  /** Prefix of the keys of claim rows. */
  public static final String PREFIX = "claim/";

  /** The progress of a call. */
  public enum State {
    /** The attempt may have run the call. */
    CLAIMED,
    /** The call ended; the row has the response, unless it was too large or is unknown. */
    DONE,
    /** The attempt certainly did not run the call. */
    ABANDONED
  }

  /** Returns the key of the claim row for an idempotency key of a caller at a service. */
  public static String key(String caller, String service, String idempotencyKey) {
    return PREFIX + caller + "/" + service + "/" + idempotencyKey;
  }

  /** Returns the row after the call ended. */
  public ClaimRow done(
      int responseStatus, String responseType, String responseBase64, long nowMillis) {
    return new ClaimRow(
        attempt,
        node,
        incarnation,
        fingerprint,
        State.DONE,
        responseStatus,
        responseType,
        responseBase64,
        nowMillis);
  }

  /** Returns the row after the attempt ended without running the call. */
  public ClaimRow abandoned(long nowMillis) {
    return new ClaimRow(
        attempt, node, incarnation, fingerprint, State.ABANDONED, 0, "", "", nowMillis);
  }
}
