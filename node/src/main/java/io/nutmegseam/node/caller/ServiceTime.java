package io.nutmegseam.node.caller;

import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.placement.PlacementRules;
import io.nutmegseam.node.control.RoutingTable;
import java.util.Optional;

/** Estimates the time that a request needs at the fastest server that may run it. */
final class ServiceTime {
  private static final double MILLIS_PER_SECOND = 1_000;

  private ServiceTime() {}

  static long millis(Call call, RoutingTable table) {
    if (!call.isCompletion()) {
      return 0;
    }
    double fastest =
        PlacementRules.allowedServers(call.name(), table.catalog(), table.placements()).stream()
            .map(table.catalog()::backendServer)
            .flatMap(Optional::stream)
            .mapToDouble(BackendServerRecord::tokensPerSecond)
            .max()
            .orElse(Double.MAX_VALUE);
    return (long) (call.size().answerTokens() * MILLIS_PER_SECOND / fastest);
  }
}
