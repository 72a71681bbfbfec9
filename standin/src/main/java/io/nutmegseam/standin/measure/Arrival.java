package io.nutmegseam.standin.measure;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * One request of the load.
 *
 * @param atMillis intended start, from the beginning of the run
 * @param node index of the node that gets it
 * @param unit model or adapter; empty for a payment
 * @param prompt the prompt, or the payment's key
 * @param tokens tokens to generate
 * @param interactive its class
 */
public record Arrival(
    long atMillis, int node, String unit, String prompt, int tokens, boolean interactive) {
  /** Returns whether this is a payment. */
  @JsonIgnore
  public boolean isPayment() {
    return unit.isEmpty();
  }
}
