package io.nutmegseam.core.claim;

/** Says what a request does when its idempotency key has a row already. */
public final class ClaimRule {
  private ClaimRule() {}

  /** What to do. */
  public enum Decision {
    /** The row is this attempt's own; dispatch is permitted. */
    PROCEED,
    /** Give the stored answer. */
    REPLAY,
    /** The call ran but its answer is not stored, or its holder is gone: the outcome is unknown. */
    UNKNOWN,
    /** The holder is running the call now. */
    IN_PROGRESS,
    /** The key was used with another body. */
    CONFLICT,
    /** The earlier attempt did not run; replace its row. */
    REPLACE
  }

  /**
   * Decides.
   *
   * @param existing the row that is there
   * @param attempt this attempt
   * @param fingerprint hash of this request's body
   * @param holderLive whether the row's node still runs in the same incarnation
   */
  public static Decision decide(
      ClaimRow existing, String attempt, String fingerprint, boolean holderLive) {
    if (!existing.fingerprint().equals(fingerprint)) {
      return Decision.CONFLICT;
    }
    return switch (existing.state()) {
      case ABANDONED -> Decision.REPLACE;
      case DONE -> existing.answerBase64().isEmpty() ? Decision.UNKNOWN : Decision.REPLAY;
      case CLAIMED -> claimed(existing, attempt, holderLive);
    };
  }

  private static Decision claimed(ClaimRow existing, String attempt, boolean holderLive) {
    if (existing.attempt().equals(attempt)) {
      return Decision.PROCEED;
    }
    return holderLive ? Decision.IN_PROGRESS : Decision.UNKNOWN;
  }
}
