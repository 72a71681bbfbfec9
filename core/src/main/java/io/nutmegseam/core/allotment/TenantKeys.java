package io.nutmegseam.core.allotment;

import io.nutmegseam.core.routing.RendezvousHash;

/** Short keys of tenants in messages, and the groups to which they belong. */
public final class TenantKeys {
  private TenantKeys() {}

  /** Returns the key of a tenant, a hash of its name. */
  public static int key(String name) {
    return (int) RendezvousHash.weight("tenant", name);
  }

  /** Returns the group of a tenant. */
  public static int group(int key, int groups) {
    return Math.floorMod(key, groups);
  }
}
