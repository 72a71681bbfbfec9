package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.gateway.ModelSpec;

/** The sources of the weights of a load, fastest first. */
public enum LoadSource {
  /** No source, for an order that is not a load of a model. */
  NONE,
  /** The host memory of the server. */
  HOST_MEMORY,
  /** The disk of the server. */
  DISK,
  /** The weight store, which limits the rate of loads. */
  STORE;

  /** Returns the fastest source that a server has for a model. */
  static LoadSource of(Inventory inventory, String model) {
    if (inventory.inHostMemory().contains(model)) {
      return HOST_MEMORY;
    }
    return inventory.onDisk().contains(model) ? DISK : STORE;
  }

  /** Returns how long a load takes without other loads from the source, in milliseconds. */
  long loadMillis(ModelSpec model) {
    return switch (this) {
      case NONE -> 0;
      case HOST_MEMORY -> model.hostMemoryLoadMillis();
      case DISK -> model.diskLoadMillis();
      case STORE -> model.storeLoadMillis();
    };
  }
}
