package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.ModelRef;

/**
 * An order to a server to load or unload a model or an adapter.
 *
 * @param server server process to which the order is addressed
 * @param operation whether to load or to unload
 * @param ref the model, or the adapter of a model that the server has loaded
 * @param source source of the weights; {@link LoadSource#NONE} for an unload and for an adapter
 */
public record ModelOrder(Incarnation server, Operation operation, ModelRef ref, LoadSource source) {
  /** The operations that a server can carry out. */
  public enum Operation {
    /** Loads a model or an adapter. */
    LOAD,
    /** Unloads a model with its adapters, or one adapter. */
    UNLOAD
  }

  /** Returns whether this is a load from the weight store, which counts against its limits. */
  public boolean isStoreLoad() {
    return operation == Operation.LOAD && source == LoadSource.STORE;
  }
}
