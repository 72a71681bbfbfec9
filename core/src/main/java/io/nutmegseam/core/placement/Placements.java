package io.nutmegseam.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The placement rows as last read, indexed by model and by server. Immutable. */
public final class Placements {
  private final Map<String, Map<Integer, VersionedRow>> byModel;
  private final Map<String, List<VersionedRow>> byServer;

  /**
   * A placement row and its version.
   *
   * @param row the placement row
   * @param version version of the row; 0 if the row does not exist
   */
  public record VersionedRow(PlacementRow row, long version) {}

  private Placements(Map<String, Map<Integer, VersionedRow>> byModel) {
    this.byModel = byModel;
    this.byServer = indexByServer(byModel);
  }

  /** Returns an instance without rows. */
  public static Placements empty() {
    return new Placements(Map.of());
  }

  /**
   * Returns a copy with additional or newer rows. A row is ignored unless its version is higher
   * than that of the present row of the slot.
   *
   * @param newer rows that were read or written
   */
  public Placements withRows(Collection<VersionedRow> newer) {
    if (newer.isEmpty()) {
      return this;
    }
    Map<String, Map<Integer, VersionedRow>> next = new HashMap<>(byModel);
    for (VersionedRow versioned : newer) {
      Map<Integer, VersionedRow> slots =
          new TreeMap<>(next.getOrDefault(versioned.row().model(), Map.of()));
      VersionedRow present = slots.get(versioned.row().slot());
      if (present == null || present.version() < versioned.version()) {
        slots.put(versioned.row().slot(), versioned);
        next.put(versioned.row().model(), slots);
      }
    }
    return new Placements(next);
  }

  /** Returns the slots of a model, in the order of their indexes. */
  public Collection<VersionedRow> slotsOfModel(String model) {
    return byModel.getOrDefault(model, Map.of()).values();
  }

  /** Returns a slot of a model; if it has no row, a free slot with version 0. */
  public VersionedRow slot(String model, int slot) {
    VersionedRow versioned = byModel.getOrDefault(model, Map.of()).get(slot);
    return versioned == null ? new VersionedRow(PlacementRow.initial(model, slot), 0) : versioned;
  }

  /** Returns the slots that are placed on a server or draining there. */
  public List<VersionedRow> slotsOnServer(String server) {
    return byServer.getOrDefault(server, List.of());
  }

  /** Returns the names of all models that have a row. */
  public Collection<String> models() {
    return byModel.keySet();
  }

  private static Map<String, List<VersionedRow>> indexByServer(
      Map<String, Map<Integer, VersionedRow>> byModel) {
    Map<String, List<VersionedRow>> index = new HashMap<>();
    for (Map<Integer, VersionedRow> slots : byModel.values()) {
      for (VersionedRow versioned : slots.values()) {
        if (versioned.row().state() != PlacementRow.State.FREE) {
          index.computeIfAbsent(versioned.row().server(), k -> new ArrayList<>()).add(versioned);
        }
      }
    }
    return index;
  }
}
