package io.nutmegseam.node.dispatch;

import io.nutmegseam.core.dispatch.PriorityLevels;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.tenant.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The priority levels of each service by the active configuration. Confined to one thread. */
final class ServicePriorities {
  private final Map<String, PriorityLevels> levelsByService = new HashMap<>();
  private GatewayConfig current;

  /** Returns the levels of a service, which are computed once for each configuration. */
  PriorityLevels of(GatewayConfig config, String service) {
    if (config != current) {
      current = config;
      levelsByService.clear();
    }
    return levelsByService.computeIfAbsent(service, s -> new PriorityLevels(inUse(config, s)));
  }

  /** Returns the priorities of the requests that a service gets with one; others get none. */
  private static List<Integer> inUse(GatewayConfig config, String service) {
    List<Integer> priorities = new ArrayList<>();
    for (Route route : config.routes()) {
      boolean leads = route.shares().stream().anyMatch(share -> share.service().equals(service));
      if (leads && route.kind() == RequestKind.STREAMING) {
        priorities.add(route.priority());
      }
    }
    for (Tenant tenant : config.tenants().all()) {
      tenant.priority().ifPresent(priorities::add);
    }
    return priorities;
  }
}
