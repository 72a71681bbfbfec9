package io.nutmegseam.core.placement;

import io.nutmegseam.core.config.AdapterRecord;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.config.ModelRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Determines which servers may load a model or an adapter. */
public final class PlacementRules {
  private PlacementRules() {}

  /**
   * Returns the model whose placements apply to a unit: the unit itself if it is a model, or the
   * base model of an adapter.
   *
   * @param unit name of a model or adapter
   * @param catalog the active records
   */
  public static Optional<ModelRecord> baseModel(String unit, Catalog catalog) {
    Optional<ModelRecord> model = catalog.model(unit);
    return model.isPresent()
        ? model
        : catalog.adapter(unit).flatMap(adapter -> catalog.model(adapter.model()));
  }

  /**
   * Returns the maximum number of replicas of a unit. An adapter uses the first slots of its model,
   * so it never has more replicas than the model.
   *
   * @param unit name of a model or adapter
   * @param catalog the active records
   */
  public static int maxReplicas(String unit, Catalog catalog) {
    Optional<ModelRecord> base = baseModel(unit, catalog);
    if (base.isEmpty()) {
      return 0;
    }
    int adapterLimit =
        catalog.model(unit).isPresent()
            ? Integer.MAX_VALUE
            : catalog.adapter(unit).map(AdapterRecord::maxReplicas).orElse(0);
    return Math.min(base.get().maxReplicas(), adapterLimit);
  }

  /**
   * Returns the servers that may load a unit, in the order of their slots.
   *
   * @param unit name of a model or adapter
   * @param catalog the active records
   * @param placements the placement rows as last read
   */
  public static List<String> allowedServers(String unit, Catalog catalog, Placements placements) {
    Optional<ModelRecord> base = baseModel(unit, catalog);
    if (base.isEmpty()) {
      return List.of();
    }
    int slots = maxReplicas(unit, catalog);
    List<String> servers = new ArrayList<>();
    for (Placements.VersionedRow versioned : placements.slotsOfModel(base.get().name())) {
      boolean isPlaced = versioned.row().state() == PlacementRow.State.PLACED;
      if (isPlaced && versioned.row().slot() < slots) {
        servers.add(versioned.row().server());
      }
    }
    return servers;
  }

  /**
   * Returns whether a server may load a unit or keep it loaded.
   *
   * @param unit name of a model or adapter
   * @param server the backend server
   * @param catalog the active records
   * @param placements the placement rows as last read
   */
  public static boolean mayLoad(
      String unit, BackendServerRecord server, Catalog catalog, Placements placements) {
    return allowedServers(unit, catalog, placements).contains(server.name());
  }
}
