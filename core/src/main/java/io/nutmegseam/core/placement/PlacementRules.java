package io.nutmegseam.core.placement;

import io.nutmegseam.core.config.AdapterRecord;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.config.ModelRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Says which servers may load a model or an adapter now. */
public final class PlacementRules {
  private PlacementRules() {}

  /**
   * Returns the model whose placements decide about a unit: the unit itself if it is a model, or
   * the model that it adapts.
   *
   * @param unit name of a model or adapter
   * @param catalog the records in force
   */
  public static Optional<ModelRecord> baseModel(String unit, Catalog catalog) {
    Optional<ModelRecord> model = catalog.model(unit);
    return model.isPresent()
        ? model
        : catalog.adapter(unit).flatMap(adapter -> catalog.model(adapter.model()));
  }

  /**
   * Returns the most replicas of a unit. An adapter uses the first slots of its model, so it never
   * has more replicas than its model.
   *
   * @param unit name of a model or adapter
   * @param catalog the records in force
   */
  public static int maxReplicas(String unit, Catalog catalog) {
    Optional<ModelRecord> base = baseModel(unit, catalog);
    if (base.isEmpty()) {
      return 0;
    }
    int ofAdapter =
        catalog.model(unit).isPresent()
            ? Integer.MAX_VALUE
            : catalog.adapter(unit).map(AdapterRecord::maxReplicas).orElse(0);
    return Math.min(base.get().maxReplicas(), ofAdapter);
  }

  /**
   * Returns the servers that may load a unit, by slot.
   *
   * @param unit name of a model or adapter
   * @param catalog the records in force
   * @param placements the placements as last read
   */
  public static List<String> allowedServers(String unit, Catalog catalog, Placements placements) {
    Optional<ModelRecord> base = baseModel(unit, catalog);
    if (base.isEmpty()) {
      return List.of();
    }
    int slots = maxReplicas(unit, catalog);
    List<String> servers = new ArrayList<>();
    for (Placements.VersionedRow placed : placements.slotsOfModel(base.get().name())) {
      boolean placedHere = placed.row().state() == PlacementRow.State.PLACED;
      if (placedHere && placed.row().slot() < slots) {
        servers.add(placed.row().server());
      }
    }
    return servers;
  }

  /**
   * Returns whether a server may load or keep a unit.
   *
   * @param unit name of a model or adapter
   * @param server the server
   * @param catalog the records in force
   * @param placements the placements as last read
   */
  public static boolean mayLoad(
      String unit, BackendServerRecord server, Catalog catalog, Placements placements) {
    return allowedServers(unit, catalog, placements).contains(server.name());
  }
}
