package io.nutmegseam.node.caller;

import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.placement.PlacementRules;
import io.nutmegseam.node.control.RoutingTable;
import java.util.Optional;

/**
 * Estimates how long a request runs at the fastest backend server where it may run. The estimate
 * covers the generation of a completion; it is 0 for a plain service.
 */
final class ServiceTimeEstimator {
  private static final double MILLIS_PER_SECOND = 1_000;

  private ServiceTimeEstimator() {}

  static long estimateMillis(CallerRequest request, RoutingTable table) {
    if (!request.isCompletion()) {
      return 0;
    }
    double tokensPerSecond =
        PlacementRules.allowedServers(request.name(), table.catalog(), table.placements()).stream()
            .map(table.catalog()::backendServer)
            .flatMap(Optional::stream)
            .mapToDouble(BackendServerRecord::tokensPerSecond)
            .max()
            .orElse(Double.MAX_VALUE);
    return (long) (request.size().maxCompletionTokens() * MILLIS_PER_SECOND / tokensPerSecond);
  }
}
