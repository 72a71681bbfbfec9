package io.nutmegseam.node.tenant;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashSet;
import java.util.Set;

/** Counts the requests of each tenant by their outcome. Thread-safe. */
public final class TenantMetrics {
  /** Time series of a node are limited: further tenants are counted together. */
  static final int MAX_TENANTS = 64;

  private static final String OTHER = "other";

  private final Counter requests;
  private final Set<String> labels = new HashSet<>();

  /** Creates the counter in a registry. */
  public TenantMetrics(PrometheusRegistry registry) {
    requests =
        Counter.builder()
            .name("nutmegseam_gateway_tenant_requests")
            .help("Requests by tenant and outcome")
            .labelNames("tenant", "outcome")
            .register(registry);
  }

  /** Counts a finished request of a tenant. */
  public void onEnded(String tenant, String outcome) {
    requests.labelValues(label(tenant), outcome).inc();
  }

  private synchronized String label(String tenant) {
    if (labels.size() < MAX_TENANTS) {
      labels.add(tenant);
    }
    return labels.contains(tenant) ? tenant : OTHER;
  }
}
