package io.nutmegseam.node.control;

import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.placement.PlacementPlanner;
import io.nutmegseam.core.placement.PlacementPlanner.ServerCondition;
import io.nutmegseam.core.placement.PlacementRow;
import io.nutmegseam.core.placement.Placements;
import io.nutmegseam.core.platform.CommitResult;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.RowCodec;
import io.nutmegseam.core.platform.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Writes placement rows: planned ones as the planner, freed ones as the owner of drained slots. */
final class PlacementControl {
  private static final int MAX_WRITES_PER_ROUND = 64;

  private final NodeContext context;
  private final ControlRowsReader rows;
  private boolean writing;
  private boolean wasPlanner;

  PlacementControl(NodeContext context, ControlRowsReader rows) {
    this.context = context;
    this.rows = rows;
  }

  /**
   * Plans one round of placements if this node is the planner and no write is in flight.
   *
   * @param isPlanner whether this node is the planner
   * @param catalog the active records
   * @param conditions returns the condition of a server by its name
   */
  void plan(boolean isPlanner, Catalog catalog, Function<String, ServerCondition> conditions) {
    if (isPlanner && !wasPlanner) {
      context.events().record(EventKind.PLANNER_ELECTED, context.node(), "");
    }
    wasPlanner = isPlanner;
    if (isPlanner && !writing && rows.isLoaded()) {
      PlacementPlanner planner = new PlacementPlanner(catalog, conditions);
      write(planner.plan(rows.placements(), MAX_WRITES_PER_ROUND));
    }
  }

  /**
   * Frees drained slots, whose servers have proved that the model is not loaded. Does nothing while
   * another write is in flight; a later round retries.
   */
  void freeSlots(List<Placements.VersionedRow> drained) {
    if (writing || drained.isEmpty()) {
      return;
    }
    List<PlacementPlanner.Write> writes = new ArrayList<>();
    for (Placements.VersionedRow slot : drained) {
      writes.add(new PlacementPlanner.Write(slot.row().freed(), slot.version()));
    }
    write(writes);
  }

  private void write(List<PlacementPlanner.Write> writes) {
    if (writes.isEmpty()) {
      return;
    }
    writing = true;
    context.thread().callAsync(() -> commit(writes), this::onCommitted);
  }

  /** Commits all rows in one transaction; if a row's version has changed, commits each alone. */
  private List<Placements.VersionedRow> commit(List<PlacementPlanner.Write> writes)
      throws PlatformException {
    List<Placements.VersionedRow> written = new ArrayList<>();
    Transaction all = new Transaction(List.of(), List.of(), List.of());
    for (PlacementPlanner.Write write : writes) {
      all = all.and(transaction(write));
    }
    CommitResult combinedResult = context.table().commit(all);
    for (PlacementPlanner.Write write : writes) {
      CommitResult result =
          combinedResult.committed() ? combinedResult : context.table().commit(transaction(write));
      if (result.committed()) {
        written.add(new Placements.VersionedRow(write.row(), result.version()));
      }
    }
    return written;
  }

  private static Transaction transaction(PlacementPlanner.Write write) {
    return Transaction.compareAndSet(
        write.row().key(), write.expectedVersion(), RowCodec.encode(write.row()));
  }

  private void onCommitted(List<Placements.VersionedRow> written, Exception error) {
    writing = false;
    if (error != null) {
      context.health().recordFailure(String.valueOf(error.getMessage()));
      return;
    }
    for (Placements.VersionedRow slot : written) {
      PlacementRow row = slot.row();
      context
          .events()
          .record(
              event(row.state()),
              row.model() + "/" + row.slot(),
              row.server() + " generation " + row.generation());
    }
    rows.onWritten(written);
  }

  private static EventKind event(PlacementRow.State state) {
    return switch (state) {
      case PLACED -> EventKind.PLACEMENT_DECIDED;
      case DRAINING -> EventKind.PLACEMENT_DRAINING;
      case FREE -> EventKind.PLACEMENT_FREED;
    };
  }
}
