package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.ModelRef;

/**
 * An order to one server.
 *
 * @param server the process that it is meant for
 * @param operation what to do
 * @param ref the model, or the adapter of a model that the server holds
 * @param source where the weights of a load come from; {@link LoadSource#NONE} for an unload
 */
public record ModelOrder(Incarnation server, Operation operation, ModelRef ref, LoadSource source) {
  /** What an order does. */
  public enum Operation {
    /** Loads a model or an adapter. */
    LOAD,
    /** Unloads a model with its adapters, or one adapter. */
    UNLOAD
  }

  /** Returns whether this is a load from the weight store that counts against its limit. */
  public boolean isStoreLoad() {
    return operation == Operation.LOAD && source == LoadSource.STORE;
  }
}
