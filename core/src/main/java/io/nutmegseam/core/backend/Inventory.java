package io.nutmegseam.core.backend;

import java.util.List;
import java.util.Set;

/**
 * What a model engine has in its accelerator memory.
 *
 * @param incarnation changes with every start of the engine
 * @param epoch highest fencing number that the engine has seen; 0 if it does not check
 * @param leaving whether the engine says that it is leaving
 * @param items the models and adapters
 * @param cachedUnits models and adapters whose weights lie on the server, so that a load needs no
 *     transfer from the weight store
 */
public record Inventory(
    String incarnation, long epoch, boolean leaving, List<Item> items, Set<String> cachedUnits) {
  /** How far an item is. */
  public enum ItemState {
    /** Its weights are being fetched. */
    LOADING,
    /** It takes requests. */
    LOADED,
    /** It finishes its last requests. */
    UNLOADING
  }

  /**
   * One model or adapter in memory.
   *
   * @param unit name of the model or adapter
   * @param state how far it is
   * @param memoryBytes memory that it holds, in bytes
   */
  public record Item(String unit, ItemState state, long memoryBytes) {}
}
