package io.nutmegseam.core.tenant;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * An organisation whose requests carry an API key.
 *
 * @param name name of the tenant, which servers are told
 * @param keys keys of the tenant; secret, so they must not be logged
 * @param priority priority of the tenant's requests, which takes precedence over that of the route;
 *     0 is the highest; empty if the route decides
 * @param allotment how much the tenant may use; empty if there is no limit
 */
public record Tenant(
    String name, Set<String> keys, OptionalInt priority, Optional<Allotment> allotment) {
  /** Creates a tenant with a copy of the keys. */
  public Tenant {
    keys = Set.copyOf(keys);
  }

  /** Returns a description without the keys. */
  @Override
  public String toString() {
    return "tenant %s, %d keys, priority %s, allotment %s"
        .formatted(
            name,
            keys.size(),
            priority.isPresent() ? String.valueOf(priority.getAsInt()) : "of the route",
            allotment.map(Allotment::toString).orElse("unlimited"));
  }
}
