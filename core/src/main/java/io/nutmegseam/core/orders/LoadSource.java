package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.gateway.ModelSpec;

/** Where the weights of a load come from, the fastest first. */
public enum LoadSource {
  /** No load. */
  NONE,
  /** The host memory of the server. */
  HOST_MEMORY,
  /** The disk of the server. */
  DISK,
  /** The weight store, whose rate is limited. */
  STORE;

  /** Returns the fastest source that a server has for a model. */
  static LoadSource of(Inventory inventory, String model) {
    if (inventory.inHostMemory().contains(model)) {
      return HOST_MEMORY;
    }
    return inventory.onDisk().contains(model) ? DISK : STORE;
  }

  /** Returns how long a load takes that has the source for itself, in milliseconds. */
  long loadMillis(ModelSpec model) {
    return switch (this) {
      case NONE -> 0;
      case HOST_MEMORY -> model.hostMemoryLoadMillis();
      case DISK -> model.diskLoadMillis();
      case STORE -> model.storeLoadMillis();
    };
  }
}
