package io.nutmegseam.core.tenant;

import io.nutmegseam.core.routing.TokenCount;
import java.util.Optional;

/**
 * How much a tenant may use over all nodes together, as a token bucket.
 *
 * @param unit what is counted
 * @param plainTokens cost of a request without a token count, if tokens are counted
 * @param ratePerSecond units that the tenant may use per second; positive
 * @param burst units that the tenant may use at once on top of the rate
 */
public record Allotment(AllotmentUnit unit, long plainTokens, double ratePerSecond, double burst) {
  /** Returns the units that a request costs. */
  public long cost(Optional<TokenCount> tokens) {
    return unit == AllotmentUnit.REQUESTS ? 1 : tokens.map(TokenCount::total).orElse(plainTokens);
  }
}
