package io.nutmegseam.core.claim;

/** Decides how a request proceeds if its idempotency key already has a claim row. */
public final class ClaimRule {
  private ClaimRule() {}

  /** How the request proceeds. */
  public enum Decision {
    /** The row belongs to this attempt; dispatch is permitted. */
    PROCEED,
    /** Return the stored response. */
    REPLAY,
    /**
     * The call ended but its response is not stored, or its claim holder is no longer running: the
     * outcome is unknown.
     */
    UNKNOWN,
    /** The claim holder may still be running the call. */
    IN_PROGRESS,
    /** The key was used with a different request body. */
    CONFLICT,
    /** The earlier attempt did not run the call; replace its row. */
    REPLACE
  }

  /**
   * Returns how a request proceeds whose idempotency key has a row.
   *
   * @param existing the claim row of the key
   * @param attempt id of this attempt
   * @param fingerprint hash of this request's body
   * @param holderLive whether the row's node still runs in the same incarnation and may still be
   *     running the call
   */
  public static Decision decide(
      ClaimRow existing, String attempt, String fingerprint, boolean holderLive) {
    if (!existing.fingerprint().equals(fingerprint)) {
      return Decision.CONFLICT;
    }
    return switch (existing.state()) {
      case ABANDONED -> Decision.REPLACE;
      case DONE -> existing.answerBase64().isEmpty() ? Decision.UNKNOWN : Decision.REPLAY;
      case CLAIMED -> decideClaimed(existing, attempt, holderLive);
    };
  }

  private static Decision decideClaimed(ClaimRow existing, String attempt, boolean holderLive) {
    if (existing.attempt().equals(attempt)) {
      return Decision.PROCEED;
    }
    return holderLive ? Decision.IN_PROGRESS : Decision.UNKNOWN;
  }
}
