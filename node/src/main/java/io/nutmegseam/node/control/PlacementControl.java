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

/** Writes placement rows: as the planner, and as the owner that proves a drained slot free. */
final class PlacementControl {
  private static final int WRITES_PER_ROUND = 64;

  private final NodeContext context;
  private final ControlRowsReader rows;
  private boolean writing;
  private boolean planner;

  PlacementControl(NodeContext context, ControlRowsReader rows) {
    this.context = context;
    this.rows = rows;
  }

  /** Plans one round if this node is the planner. */
  void plan(boolean isPlanner, Catalog catalog, Function<String, ServerCondition> conditions) {
    if (isPlanner && !planner) {
      context.events().record(EventKind.PLANNER_ELECTED, context.node(), "");
    }
    planner = isPlanner;
    if (isPlanner && !writing && rows.isLoaded()) {
      PlacementPlanner round = new PlacementPlanner(catalog, conditions);
      write(round.plan(rows.placements(), WRITES_PER_ROUND));
    }
  }

  /** Frees slots whose server has proved that the model is not loaded. */
  void free(List<Placements.VersionedRow> drained) {
    if (writing || drained.isEmpty()) {
      return;
    }
    List<PlacementPlanner.Write> writes = new ArrayList<>();
    for (Placements.VersionedRow placed : drained) {
      writes.add(new PlacementPlanner.Write(placed.row().freed(), placed.version()));
    }
    write(writes);
  }

  private void write(List<PlacementPlanner.Write> writes) {
    if (writes.isEmpty()) {
      return;
    }
    writing = true;
    context.thread().call(() -> commit(writes), this::onWritten);
  }

  /** Commits all rows at once; if one has moved on, commits each by itself. */
  private List<Placements.VersionedRow> commit(List<PlacementPlanner.Write> writes)
      throws PlatformException {
    List<Placements.VersionedRow> written = new ArrayList<>();
    Transaction all = new Transaction(List.of(), List.of(), List.of());
    for (PlacementPlanner.Write write : writes) {
      all = all.and(transaction(write));
    }
    CommitResult together = context.table().commit(all);
    for (PlacementPlanner.Write write : writes) {
      CommitResult result =
          together.committed() ? together : context.table().commit(transaction(write));
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

  private void onWritten(List<Placements.VersionedRow> written, Exception error) {
    writing = false;
    if (error != null) {
      context.health().failed(String.valueOf(error.getMessage()));
      return;
    }
    for (Placements.VersionedRow placed : written) {
      PlacementRow row = placed.row();
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
