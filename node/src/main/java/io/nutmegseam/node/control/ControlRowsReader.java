package io.nutmegseam.node.control;

import io.nutmegseam.core.ownership.ServerRow;
import io.nutmegseam.core.placement.PlacementRow;
import io.nutmegseam.core.placement.Placements;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.RowCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Follows the rows of server ownership and of placements; reads only what changed. */
final class ControlRowsReader {
  private static final String PREFIX = "control/";
  private static final int PAGE_ROWS = 1_000;

  private final NodeContext context;
  private final Runnable onRead;
  private final Runnable onConfirmed;
  private final Map<String, OwnerRow> ownerRows = new HashMap<>();
  private Placements placements = Placements.empty();
  private long seenVersion;
  private boolean polling;
  private boolean loaded;

  /** The row of a server's owner and its version. */
  record OwnerRow(ServerRow row, long version) {}

  /**
   * Creates the reader.
   *
   * @param context what it works with
   * @param onRead runs after a change of the rows
   * @param onConfirmed runs after every poll: the rows are known, or known to be out of reach
   */
  ControlRowsReader(NodeContext context, Runnable onRead, Runnable onConfirmed) {
    this.context = context;
    this.onRead = onRead;
    this.onConfirmed = onConfirmed;
  }

  void poll() {
    if (polling) {
      return;
    }
    polling = true;
    long since = seenVersion;
    context.thread().call(() -> read(since), this::onPolled);
  }

  /** Returns whether the rows were read once. */
  boolean isLoaded() {
    return loaded;
  }

  OwnerRow ownerRow(String server) {
    return ownerRows.getOrDefault(server, new OwnerRow(ServerRow.unowned(), 0));
  }

  Placements placements() {
    return placements;
  }

  /** Takes in placement rows that this node wrote, ahead of the next poll. */
  void onWritten(List<Placements.VersionedRow> written) {
    placements = placements.withRows(written);
    onRead.run();
  }

  private List<Row> read(long since) throws PlatformException {
    List<Row> all = new ArrayList<>();
    long version = since;
    while (true) {
      List<Row> page = context.table().range(PREFIX, version, PAGE_ROWS);
      all.addAll(page);
      if (page.size() < PAGE_ROWS) {
        return all;
      }
      // Rows of one commit share a version: read the last version of the page again.
      version = page.get(page.size() - 1).version() - 1;
    }
  }

  private void onPolled(List<Row> rows, Exception error) {
    polling = false;
    if (error != null) {
      context.health().failed(String.valueOf(error.getMessage()));
      onConfirmed.run();
      return;
    }
    context.health().answered();
    boolean changed = !rows.isEmpty() || !loaded;
    loaded = true;
    List<Placements.VersionedRow> placed = new ArrayList<>();
    for (Row row : rows) {
      seenVersion = Math.max(seenVersion, row.version());
      take(row, placed);
    }
    placements = placements.withRows(placed);
    if (changed) {
      onRead.run();
    }
    onConfirmed.run();
  }

  private void take(Row row, List<Placements.VersionedRow> placed) {
    if (row.key().startsWith(PlacementRow.PREFIX)) {
      RowCodec.decode(row.value(), PlacementRow.class)
          .ifPresent(p -> placed.add(new Placements.VersionedRow(p, row.version())));
    } else if (row.key().startsWith(ServerRow.PREFIX)) {
      String server = row.key().substring(ServerRow.PREFIX.length());
      RowCodec.decode(row.value(), ServerRow.class)
          .ifPresent(s -> ownerRows.put(server, new OwnerRow(s, row.version())));
    }
  }
}
