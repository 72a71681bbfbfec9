package io.nutmegseam.core.claim;

/**
 * The row of one idempotency key.
 *
 * @param attempt the attempt that holds the claim
 * @param node the node of the attempt
 * @param incarnation the node's incarnation
 * @param fingerprint hash of the request body
 * @param state how far the call is
 * @param status HTTP status of the stored answer; 0 before
 * @param contentType content type of the stored answer
 * @param answerBase64 stored answer; empty if it was too large
 * @param writtenAtMillis wall-clock time of the write, for retention only
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

  /** How far a call is. */
  public enum State {
    /** The attempt may have run the call. */
    CLAIMED,
    /** The call ran, and the answer is stored. */
    DONE,
    /** The attempt certainly did not run the call. */
    ABANDONED
  }

  /** Returns the key of the row of a caller's idempotency key. */
  public static String key(String caller, String service, String idempotencyKey) {
    return PREFIX + caller + "/" + service + "/" + idempotencyKey;
  }

  /** Returns the row after the answer came. */
  public ClaimRow done(int answerStatus, String type, String body, long nowMillis) {
    return new ClaimRow(
        attempt, node, incarnation, fingerprint, State.DONE, answerStatus, type, body, nowMillis);
  }

  /** Returns the row after the attempt was given up before dispatch. */
  public ClaimRow abandoned(long nowMillis) {
    return new ClaimRow(
        attempt, node, incarnation, fingerprint, State.ABANDONED, 0, "", "", nowMillis);
  }
}
