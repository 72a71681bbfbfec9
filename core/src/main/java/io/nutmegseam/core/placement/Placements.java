package io.nutmegseam.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The placement rows as last read, by model and by server. Immutable. */
public final class Placements {
  private final Map<String, Map<Integer, VersionedRow>> byModel;
  private final Map<String, List<VersionedRow>> byServer;

  /**
   * A placement row and its version.
   *
   * @param row the row
   * @param version its version; 0 if the row is not there
   */
  public record VersionedRow(PlacementRow row, long version) {}

  private Placements(Map<String, Map<Integer, VersionedRow>> byModel) {
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
  public Placements withRows(Collection<VersionedRow> newer) {
    if (newer.isEmpty()) {
      return this;
    }
    Map<String, Map<Integer, VersionedRow>> next = new HashMap<>(byModel);
    for (VersionedRow placed : newer) {
      Map<Integer, VersionedRow> slots =
          new TreeMap<>(next.getOrDefault(placed.row().model(), Map.of()));
      VersionedRow known = slots.get(placed.row().slot());
      if (known == null || known.version() < placed.version()) {
        slots.put(placed.row().slot(), placed);
        next.put(placed.row().model(), slots);
      }
    }
    return new Placements(next);
  }

  /** Returns the slots of a model, by index. */
  public Collection<VersionedRow> slotsOfModel(String model) {
    return byModel.getOrDefault(model, Map.of()).values();
  }

  /** Returns one slot of a model; a free one with version 0 if it has no row. */
  public VersionedRow slot(String model, int slot) {
    VersionedRow placed = byModel.getOrDefault(model, Map.of()).get(slot);
    return placed == null ? new VersionedRow(PlacementRow.initial(model, slot), 0) : placed;
  }

  /** Returns the slots that name a server, placed or draining. */
  public List<VersionedRow> slotsOnServer(String server) {
    return byServer.getOrDefault(server, List.of());
  }

  /** Returns every model that has a row. */
  public Collection<String> models() {
    return byModel.keySet();
  }

  private static Map<String, List<VersionedRow>> index(
      Map<String, Map<Integer, VersionedRow>> byModel) {
    Map<String, List<VersionedRow>> index = new HashMap<>();
    for (Map<Integer, VersionedRow> slots : byModel.values()) {
      for (VersionedRow placed : slots.values()) {
        if (placed.row().state() != PlacementRow.State.FREE) {
          index.computeIfAbsent(placed.row().server(), k -> new ArrayList<>()).add(placed);
        }
      }
    }
    return index;
  }
}
