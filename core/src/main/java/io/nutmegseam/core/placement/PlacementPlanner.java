package io.nutmegseam.core.placement;

import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.config.ModelRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Plans placements: assigns free slots to servers and drains the slots of servers that leave. The
 * planned rows are written by compare-and-set, so concurrent planners cannot overwrite each other.
 */
public final class PlacementPlanner {
  /** Cost of a further replica in the same data centre, as a share of a server's memory. */
  private static final double SAME_DATA_CENTRE_COST = 0.5;

  private final Catalog catalog;
  private final Function<String, ServerCondition> conditionOf;
  private final Map<String, Double> memoryShareByServer = new HashMap<>();

  /** Whether a server can host replicas. */
  public enum ServerCondition {
    /** The server can receive new placements. */
    AVAILABLE,
    /** The server must unload its replicas; a slot is freed when the unload is confirmed. */
    LEAVING,
    /** The server's VM was removed, and with it all loaded replicas. */
    GONE
  }

  /**
   * A row to write.
   *
   * @param row new row
   * @param expectedVersion version of the row that it replaces
   */
  public record Write(PlacementRow row, long expectedVersion) {}

  /**
   * Creates a planner for one round.
   *
   * @param catalog the active records
   * @param conditionOf returns the condition of a server, by name
   */
  public PlacementPlanner(Catalog catalog, Function<String, ServerCondition> conditionOf) {
    this.catalog = catalog;
    this.conditionOf = conditionOf;
  }

  /**
   * Plans the rows of one round.
   *
   * @param placements the rows as last read
   * @param maxWrites maximum number of rows to write in this round
   * @return the rows to write
   */
  public List<Write> plan(Placements placements, int maxWrites) {
    sumMemoryShares(placements);
    List<Write> writes = new ArrayList<>();
    drainExcessSlots(placements, writes);
    for (ModelRecord model : catalog.models()) {
      planModel(model, placements, writes);
    }
    return writes.size() > maxWrites ? List.copyOf(writes.subList(0, maxWrites)) : writes;
  }

  private void sumMemoryShares(Placements placements) {
    for (BackendServerRecord server : catalog.backendServers()) {
      double share = 0;
      for (Placements.VersionedRow versioned : placements.slotsOnServer(server.name())) {
        share +=
            catalog.model(versioned.row().model()).map(m -> memoryShare(m, server)).orElse(0.0);
      }
      memoryShareByServer.put(server.name(), share);
    }
  }

  /** Drains slots beyond the maximum number of replicas, and all slots of undeclared models. */
  private void drainExcessSlots(Placements placements, List<Write> writes) {
    for (String model : placements.models()) {
      int maxReplicas = catalog.model(model).map(ModelRecord::maxReplicas).orElse(0);
      for (Placements.VersionedRow versioned : placements.slotsOfModel(model)) {
        if (versioned.row().slot() >= maxReplicas) {
          drain(versioned, writes);
        }
      }
    }
  }

  private void planModel(ModelRecord model, Placements placements, List<Write> writes) {
    Set<String> usedServers = new HashSet<>();
    placements
        .slotsOfModel(model.name())
        .forEach(versioned -> usedServers.add(versioned.row().server()));
    for (int slot = 0; slot < model.maxReplicas(); slot++) {
      Placements.VersionedRow versioned = placements.slot(model.name(), slot);
      if (versioned.row().state() == PlacementRow.State.FREE) {
        place(model, versioned, usedServers, writes);
      } else if (mustMove(model, versioned.row())) {
        drain(versioned, writes);
      }
    }
  }

  private boolean mustMove(ModelRecord model, PlacementRow row) {
    Optional<BackendServerRecord> server = catalog.backendServer(row.server());
    boolean allowed = server.isPresent() && model.mayRunOn(server.get());
    return !allowed || conditionOf.apply(row.server()) != ServerCondition.AVAILABLE;
  }

  private void drain(Placements.VersionedRow versioned, List<Write> writes) {
    PlacementRow row = versioned.row();
    if (row.state() == PlacementRow.State.FREE) {
      return;
    }
    if (conditionOf.apply(row.server()) == ServerCondition.GONE) {
      writes.add(new Write(row.freed(), versioned.version()));
    } else if (row.state() == PlacementRow.State.PLACED) {
      writes.add(new Write(row.draining(), versioned.version()));
    }
  }

  private void place(
      ModelRecord model,
      Placements.VersionedRow versioned,
      Set<String> usedServers,
      List<Write> writes) {
    Optional<BackendServerRecord> cheapest =
        catalog.backendServers().stream()
            .filter(model::mayRunOn)
            .filter(server -> !usedServers.contains(server.name()))
            .filter(server -> conditionOf.apply(server.name()) == ServerCondition.AVAILABLE)
            .min(
                Comparator.<BackendServerRecord>comparingDouble(s -> cost(model, s, usedServers))
                    .thenComparing(BackendServerRecord::name));
    if (cheapest.isPresent()) {
      BackendServerRecord server = cheapest.get();
      usedServers.add(server.name());
      memoryShareByServer.merge(server.name(), memoryShare(model, server), Double::sum);
      writes.add(new Write(versioned.row().placedOn(server.name()), versioned.version()));
    }
  }

  private double cost(ModelRecord model, BackendServerRecord server, Set<String> usedServers) {
    boolean sameDataCentre =
        usedServers.stream()
            .map(catalog::backendServer)
            .flatMap(Optional::stream)
            .anyMatch(other -> other.dataCentre().equals(server.dataCentre()));
    double share =
        memoryShareByServer.getOrDefault(server.name(), 0.0) + memoryShare(model, server);
    return share + (sameDataCentre ? SAME_DATA_CENTRE_COST : 0);
  }

  private static double memoryShare(ModelRecord model, BackendServerRecord server) {
    return (double) model.memoryBytes() / Math.max(1, server.memoryBytes());
  }
}
