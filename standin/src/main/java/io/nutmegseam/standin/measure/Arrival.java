package io.nutmegseam.standin.measure;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A request of the generated workload and the time at which it arrives.
 *
 * @param atMillis scheduled send time, in milliseconds since the start of the run
 * @param node index of the node that the request is sent to
 * @param unit name of the requested model or adapter; empty for a payment
 * @param prompt prompt of a completion, or idempotency key of a payment
 * @param tokens number of tokens to generate; 0 for a payment
 * @param interactive whether the request has interactive rather than batch priority
 */
public record Arrival(
    long atMillis, int node, String unit, String prompt, int tokens, boolean interactive) {
  /** Returns whether this is a call of the payment path of the plain service. */
  @JsonIgnore
  public boolean isPayment() {
    return unit.isEmpty();
  }
}
