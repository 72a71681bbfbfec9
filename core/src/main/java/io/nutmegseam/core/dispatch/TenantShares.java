package io.nutmegseam.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * The share of each tenant in what was recently sent to servers, as exponentially decaying sums.
 * Confined to one thread.
 */
public final class TenantShares {
  /** Bursts of a second average out, and a tenant that stops is forgotten within a minute. */
  private static final double TIME_CONSTANT_MILLIS = 4_000;

  /** A tenant is far above its equal share at this multiple of it. */
  private static final double EXCESS_FACTOR = 2;

  /** The sums of many tenants are not computed anew for each request. */
  private static final long UPDATE_INTERVAL_MILLIS = 50;

  private static final double NEGLIGIBLE_COST = 0.01;
  private static final int MIN_TENANTS = 2;

  private final Map<String, Double> costByTenant = new HashMap<>();
  private double totalCost;
  private long updatedMillis = Long.MIN_VALUE / 2;

  /**
   * Records a request that is sent to a server.
   *
   * @param tenant name of the tenant; a request without tenant, which is empty, does not count
   * @param cost cost of the request; one unit for all tenants
   * @param nowMillis monotonic time
   */
  public void onSent(String tenant, double cost, long nowMillis) {
    if (!tenant.isEmpty()) {
      decayTo(nowMillis);
      costByTenant.merge(tenant, cost, Double::sum);
      totalCost += cost;
    }
  }

  /** Returns whether a tenant has had far more than its equal share among the active tenants. */
  public boolean isAboveShare(String tenant, long nowMillis) {
    if (tenant.isEmpty() || costByTenant.size() < MIN_TENANTS) {
      return false;
    }
    decayTo(nowMillis);
    double equalShare = 1.0 / Math.max(1, costByTenant.size());
    // Of two tenants, neither could have more than twice its equal share.
    double limit = Math.min(EXCESS_FACTOR * equalShare, (1 + equalShare) / 2);
    return costByTenant.getOrDefault(tenant, 0.0) > limit * totalCost;
  }

  private void decayTo(long nowMillis) {
    if (nowMillis - updatedMillis < UPDATE_INTERVAL_MILLIS) {
      return;
    }
    double factor = Math.exp(-(nowMillis - updatedMillis) / TIME_CONSTANT_MILLIS);
    updatedMillis = nowMillis;
    costByTenant.replaceAll((tenant, cost) -> cost * factor);
    costByTenant.values().removeIf(cost -> cost < NEGLIGIBLE_COST);
    totalCost = costByTenant.values().stream().mapToDouble(Double::doubleValue).sum();
  }
}
