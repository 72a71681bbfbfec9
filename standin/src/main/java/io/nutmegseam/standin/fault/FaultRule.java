package io.nutmegseam.standin.fault;

/**
 * Specifies a fault and the calls that it affects.
 *
 * @param target name of the calls that the rule matches; {@code *} for all
 * @param mode the kind of the fault
 * @param count number of calls that the rule still matches; a negative number for no limit
 * @param delayMillis delay of SLOW and LATE and, for a completion, delay before a CRASH, in
 *     milliseconds
 * @param match text that the body of the request must contain; empty for any body
 */
public record FaultRule(String target, FaultMode mode, int count, long delayMillis, String match) {
  boolean matches(String call, String body) {
    boolean isTarget = target.equals("*") || target.equals(call);
    return isTarget && count != 0 && body.contains(match);
  }

  FaultRule withDecrementedCount() {
    return count < 0 ? this : new FaultRule(target, mode, count - 1, delayMillis, match);
  }
}
