package io.nutmegseam.node.allotment;

import io.prometheus.metrics.core.metrics.Counter;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiFunction;

/** Metrics by tenant, of which only the first ones get a label. Confined to the traffic thread. */
public final class TenantMetrics {
  private static final int MAX_LABELS = 64;
  private static final String OTHER = "other";

  private final Counter charged;
  private final Counter credited;
  private final Counter refused;
  private final Set<String> labels = new HashSet<>();

  /**
   * Creates the metrics.
   *
   * @param counters creates a counter of a name and a help text, with the tenant as its label
   */
  public TenantMetrics(BiFunction<String, String, Counter> counters) {
    charged = counters.apply("allotment_charged_units", "Units charged to allotments");
    credited = counters.apply("allotment_credited_units", "Charged units that did not run");
    refused = counters.apply("allotment_refused", "Requests over the allotment");
  }

  void onCharged(String tenant, long units) {
    charged.labelValues(label(tenant)).inc(units);
  }

  void onCredited(String tenant, long units) {
    credited.labelValues(label(tenant)).inc(units);
  }

  void onRefused(String tenant) {
    refused.labelValues(label(tenant)).inc();
  }

  private String label(String tenant) {
    if (labels.contains(tenant)) {
      return tenant;
    }
    return labels.size() < MAX_LABELS && labels.add(tenant) ? tenant : OTHER;
  }
}
