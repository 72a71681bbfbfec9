package io.nutmegseam.core.backend;

import java.util.List;
import java.util.Set;

/**
 * The contents of a model engine's accelerator memory.
 *
 * @param incarnation identifies the run of the engine's process; new at each start
 * @param epoch highest fencing number that the engine has seen; 0 if it does not check them
 * @param leaving whether the engine reports that it is about to shut down
 * @param items the models and adapters in memory
 * @param cachedUnits models and adapters whose weights are stored on the server, so that a load
 *     needs no transfer from the weight store
 */
public record Inventory(
    String incarnation, long epoch, boolean leaving, List<Item> items, Set<String> cachedUnits) {
  /** The loading state of an item. */
  public enum ItemState {
    /** Its weights are being fetched. */
    LOADING,
    /** It accepts requests. */
    LOADED,
    /** It accepts no new requests and finishes those in flight. */
    UNLOADING
  }

  /**
   * One model or adapter in memory.
   *
   * @param unit name of the model or adapter
   * @param state its loading state
   * @param memoryBytes memory that it occupies, in bytes
   */
  public record Item(String unit, ItemState state, long memoryBytes) {}
}
