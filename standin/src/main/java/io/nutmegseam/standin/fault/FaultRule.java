package io.nutmegseam.standin.fault;

/**
 * One fault.
 *
 * @param target name of the call that it hits; {@code *} for all
 * @param mode what goes wrong
 * @param count number of calls that it hits; -1 for all
 * @param delayMillis delay of SLOW and LATE, in milliseconds
 * @param match text that the request body must contain; empty for any
 */
public record FaultRule(String target, FaultMode mode, int count, long delayMillis, String match) {
  boolean matches(String call, String body) {
    boolean right = target.equals("*") || target.equals(call);
    return right && count != 0 && body.contains(match);
  }

  FaultRule withDecrementedCount() {
    return count < 0 ? this : new FaultRule(target, mode, count - 1, delayMillis, match);
  }
}
