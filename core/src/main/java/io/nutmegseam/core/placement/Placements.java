package io.nutmegseam.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The placement rows as last read, by model and by server. Immutable. */
public final class Placements {
  private final Map<String, Map<Integer, Placed>> byModel;
  private final Map<String, List<Placed>> byServer;

  /**
   * A placement row and its version.
   *
   * @param row the row
   * @param version its version; 0 if the row is not there
   */
  public record Placed(PlacementRow row, long version) {}

  private Placements(Map<String, Map<Integer, Placed>> byModel) {
    this.byModel = byModel;
    this.byServer = index(byModel);
  }

  /** Returns placements without rows. */
  public static Placements empty() {
    return new Placements(Map.of());
  }

  /**
   * Takes in rows; a row with a lower version than the known one is passed over.
   *
   * @param newer rows that were read or written
   */
  public Placements with(Collection<Placed> newer) {
    if (newer.isEmpty()) {
      return this;
    }
    Map<String, Map<Integer, Placed>> next = new HashMap<>(byModel);
    for (Placed placed : newer) {
      Map<Integer, Placed> slots = new TreeMap<>(next.getOrDefault(placed.row().model(), Map.of()));
      Placed known = slots.get(placed.row().slot());
      if (known == null || known.version() < placed.version()) {
        slots.put(placed.row().slot(), placed);
        next.put(placed.row().model(), slots);
      }
    }
    return new Placements(next);
  }

  /** Returns the slots of a model, by index. */
  public Collection<Placed> slots(String model) {
    return byModel.getOrDefault(model, Map.of()).values();
  }

  /** Returns one slot of a model; a free one with version 0 if it has no row. */
  public Placed slot(String model, int slot) {
    Placed placed = byModel.getOrDefault(model, Map.of()).get(slot);
    return placed == null ? new Placed(PlacementRow.free(model, slot), 0) : placed;
  }

  /** Returns the slots that name a server, placed or draining. */
  public List<Placed> on(String server) {
    return byServer.getOrDefault(server, List.of());
  }

  /** Returns every model that has a row. */
  public Collection<String> models() {
    return byModel.keySet();
  }

  private static Map<String, List<Placed>> index(Map<String, Map<Integer, Placed>> byModel) {
    Map<String, List<Placed>> index = new HashMap<>();
    for (Map<Integer, Placed> slots : byModel.values()) {
      for (Placed placed : slots.values()) {
        if (placed.row().state() != PlacementRow.State.FREE) {
          index.computeIfAbsent(placed.row().server(), k -> new ArrayList<>()).add(placed);
        }
      }
    }
    return index;
  }
}
