package io.nutmegseam.node.pace;

import java.util.HashSet;
import java.util.Set;

/** Bounds the routes that are labels of metrics. Confined to the traffic thread. */
final class RouteLabels {
  /** Each label costs a histogram, and routes are renamed over the life of a process. */
  static final int MAX_LABELS = 64;

  static final String OTHER = "other";

  private final Set<String> known = new HashSet<>();

  /** Returns the label of a route: its name, or {@link #OTHER} once there are too many. */
  String label(String route) {
    if (known.size() < MAX_LABELS) {
      known.add(route);
    }
    return known.contains(route) ? route : OTHER;
  }
}
