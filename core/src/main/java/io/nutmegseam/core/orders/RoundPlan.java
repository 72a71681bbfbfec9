package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.ModelRef;
import java.util.List;
import java.util.Map;

/**
 * The decisions of one planning round.
 *
 * @param orders orders to send now, at most one per server
 * @param readyAtMillisByModel monotonic time at which each model with waiting requests is expected
 *     to be loaded, in milliseconds
 * @param deferredLoads requested models that no server serves and none is reserved for
 */
public record RoundPlan(
    List<ModelOrder> orders,
    Map<ModelRef, Long> readyAtMillisByModel,
    List<DeferredLoad> deferredLoads) {}
