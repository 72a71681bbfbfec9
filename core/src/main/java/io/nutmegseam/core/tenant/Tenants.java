package io.nutmegseam.core.tenant;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The tenants of a configuration. Immutable. */
public final class Tenants {
  /** No tenants: requests need no key. */
  public static final Tenants NONE = new Tenants(List.of());

  private final Map<String, Tenant> tenantByName = new LinkedHashMap<>();
  private final Map<String, Tenant> tenantByKey = new HashMap<>();

  /**
   * Creates the tenants of a configuration.
   *
   * @param tenants the tenants
   * @throws IllegalArgumentException if two tenants have the same name or the same key
   */
  public Tenants(List<Tenant> tenants) {
    for (Tenant tenant : tenants) {
      if (tenantByName.put(tenant.name(), tenant) != null) {
        throw new IllegalArgumentException(
            "two tenants have the name \"%s\"".formatted(tenant.name()));
      }
      for (String key : tenant.keys()) {
        Tenant other = tenantByKey.put(key, tenant);
        if (other != null) {
          // The key itself is secret.
          throw new IllegalArgumentException(
              "tenants \"%s\" and \"%s\" have the same key".formatted(other.name(), tenant.name()));
        }
      }
    }
  }

  /** Returns whether there are no tenants, so that requests need no key. */
  public boolean isEmpty() {
    return tenantByName.isEmpty();
  }

  /** Returns the tenant that holds a key, or empty if none does. */
  public Optional<Tenant> byKey(String key) {
    return Optional.ofNullable(tenantByKey.get(key));
  }

  /** Returns the tenant of a name, or empty if there is none. */
  public Optional<Tenant> byName(String name) {
    return Optional.ofNullable(tenantByName.get(name));
  }

  /** Returns all tenants in the order of the configuration. */
  public Collection<Tenant> all() {
    return Collections.unmodifiableCollection(tenantByName.values());
  }
}
