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
 * Decides placements: gives free slots to servers and begins moves away from servers that leave.
 * Its writes are compare-and-sets, so two planners at once do no harm.
 */
public final class PlacementPlanner {
  /** Cost of a second replica in a data centre, as a share of a server's memory. */
  private static final double SAME_DATA_CENTRE_COST = 0.5;

  private final Catalog catalog;
  private final Function<String, ServerCondition> conditions;
  private final Map<String, Double> placedShare = new HashMap<>();

  /** Whether a server can carry placements. */
  public enum ServerCondition {
    /** The server takes new placements. */
    AVAILABLE,
    /** The server must lose its placements, with proof that nothing is loaded. */
    LEAVING,
    /** The server's VM is gone, and all that it had loaded with it. */
    GONE
  }

  /**
   * A row to write.
   *
   * @param row the new row
   * @param expectedVersion the version that it replaces
   */
  public record Write(PlacementRow row, long expectedVersion) {}

  /**
   * Creates a planner for one round.
   *
   * @param catalog the records in force
   * @param conditions the condition of each server, by name
   */
  public PlacementPlanner(Catalog catalog, Function<String, ServerCondition> conditions) {
    this.catalog = catalog;
    this.conditions = conditions;
  }

  /**
   * Plans one round.
   *
   * @param placements the placements as last read
   * @param maxWrites most rows to write in this round
   * @return the rows to write
   */
  public List<Write> plan(Placements placements, int maxWrites) {
    measureShares(placements);
    List<Write> writes = new ArrayList<>();
    planExcess(placements, writes);
    for (ModelRecord model : catalog.models()) {
      planModel(model, placements, writes);
    }
    return writes.size() > maxWrites ? List.copyOf(writes.subList(0, maxWrites)) : writes;
  }

  private void measureShares(Placements placements) {
    for (BackendServerRecord server : catalog.backendServers()) {
      double share = 0;
      for (Placements.VersionedRow placed : placements.slotsOnServer(server.name())) {
        share += catalog.model(placed.row().model()).map(m -> share(m, server)).orElse(0.0);
      }
      placedShare.put(server.name(), share);
    }
  }

  /** Drains the slots of models that are no longer declared, or beyond the decided number. */
  private void planExcess(Placements placements, List<Write> writes) {
    for (String model : placements.models()) {
      int decided = catalog.model(model).map(ModelRecord::maxReplicas).orElse(0);
      for (Placements.VersionedRow placed : placements.slotsOfModel(model)) {
        if (placed.row().slot() >= decided) {
          drain(placed, writes);
        }
      }
    }
  }

  private void planModel(ModelRecord model, Placements placements, List<Write> writes) {
    Set<String> taken = new HashSet<>();
    placements.slotsOfModel(model.name()).forEach(placed -> taken.add(placed.row().server()));
    for (int slot = 0; slot < model.maxReplicas(); slot++) {
      Placements.VersionedRow placed = placements.slot(model.name(), slot);
      if (placed.row().state() == PlacementRow.State.FREE) {
        place(model, placed, taken, writes);
      } else if (mustMove(model, placed.row())) {
        drain(placed, writes);
      }
    }
  }

  private boolean mustMove(ModelRecord model, PlacementRow row) {
    Optional<BackendServerRecord> server = catalog.backendServer(row.server());
    boolean allowed = server.isPresent() && model.mayRunOn(server.get());
    return !allowed || conditions.apply(row.server()) != ServerCondition.AVAILABLE;
  }

  private void drain(Placements.VersionedRow placed, List<Write> writes) {
    PlacementRow row = placed.row();
    if (row.state() == PlacementRow.State.FREE) {
      return;
    }
    if (conditions.apply(row.server()) == ServerCondition.GONE) {
      writes.add(new Write(row.freed(), placed.version()));
    } else if (row.state() == PlacementRow.State.PLACED) {
      writes.add(new Write(row.draining(), placed.version()));
    }
  }

  private void place(
      ModelRecord model, Placements.VersionedRow placed, Set<String> taken, List<Write> writes) {
    Optional<BackendServerRecord> best =
        catalog.backendServers().stream()
            .filter(model::mayRunOn)
            .filter(server -> !taken.contains(server.name()))
            .filter(server -> conditions.apply(server.name()) == ServerCondition.AVAILABLE)
            .min(
                Comparator.<BackendServerRecord>comparingDouble(s -> cost(model, s, taken))
                    .thenComparing(BackendServerRecord::name));
    if (best.isPresent()) {
      BackendServerRecord server = best.get();
      taken.add(server.name());
      placedShare.merge(server.name(), share(model, server), Double::sum);
      writes.add(new Write(placed.row().placedOn(server.name()), placed.version()));
    }
  }

  private double cost(ModelRecord model, BackendServerRecord server, Set<String> taken) {
    boolean sameDataCentre =
        taken.stream()
            .map(catalog::backendServer)
            .flatMap(Optional::stream)
            .anyMatch(other -> other.dataCentre().equals(server.dataCentre()));
    double share = placedShare.getOrDefault(server.name(), 0.0) + share(model, server);
    return share + (sameDataCentre ? SAME_DATA_CENTRE_COST : 0);
  }

  private static double share(ModelRecord model, BackendServerRecord server) {
    return (double) model.memoryBytes() / Math.max(1, server.memoryBytes());
  }
}
