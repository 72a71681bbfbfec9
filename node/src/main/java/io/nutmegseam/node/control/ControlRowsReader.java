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

/**
 * Keeps a copy of the rows of server ownership and of placements. A poll reads only the rows that
 * have changed since the previous one.
 */
final class ControlRowsReader {
  private static final String PREFIX = "control/";
  private static final int PAGE_ROWS = 1_000;

  private final NodeContext context;
  private final Runnable onChange;
  private final Runnable afterPoll;
  private final Map<String, OwnerRow> ownerRows = new HashMap<>();
  private Placements placements = Placements.empty();
  private long seenVersion;
  private boolean polling;
  private boolean loaded;

  /** The ownership row of a server, and the version of that row. */
  record OwnerRow(ServerRow row, long version) {}

  /**
   * Creates the reader.
   *
   * @param context settings and services of the node
   * @param onChange runs after a change of the rows, and after the first successful poll
   * @param afterPoll runs after every poll, also after a failed one: by then the rows are up to
   *     date or known to be unreachable
   */
  ControlRowsReader(NodeContext context, Runnable onChange, Runnable afterPoll) {
    this.context = context;
    this.onChange = onChange;
    this.afterPoll = afterPoll;
  }

  void poll() {
    if (polling) {
      return;
    }
    polling = true;
    long sinceVersion = seenVersion;
    context.thread().callAsync(() -> read(sinceVersion), this::onPolled);
  }

  /** Returns whether the rows were read at least once. */
  boolean isLoaded() {
    return loaded;
  }

  OwnerRow ownerRow(String server) {
    return ownerRows.getOrDefault(server, new OwnerRow(ServerRow.unowned(), 0));
  }

  Placements placements() {
    return placements;
  }

  /** Applies placement rows that this node wrote, without waiting for the next poll. */
  void onWritten(List<Placements.VersionedRow> written) {
    placements = placements.withRows(written);
    onChange.run();
  }

  private List<Row> read(long sinceVersion) throws PlatformException {
    List<Row> all = new ArrayList<>();
    long version = sinceVersion;
    while (true) {
      List<Row> page = context.table().range(PREFIX, version, PAGE_ROWS);
      all.addAll(page);
      if (page.size() < PAGE_ROWS) {
        return all;
      }
      // The rows of one commit share a version and may be split over two pages: the next page
      // repeats the last version of this one.
      version = page.get(page.size() - 1).version() - 1;
    }
  }

  private void onPolled(List<Row> rows, Exception error) {
    polling = false;
    if (error != null) {
      context.health().recordFailure(String.valueOf(error.getMessage()));
      afterPoll.run();
      return;
    }
    context.health().recordSuccess();
    boolean changed = !rows.isEmpty() || !loaded;
    loaded = true;
    List<Placements.VersionedRow> placed = new ArrayList<>();
    for (Row row : rows) {
      seenVersion = Math.max(seenVersion, row.version());
      apply(row, placed);
    }
    placements = placements.withRows(placed);
    if (changed) {
      onChange.run();
    }
    afterPoll.run();
  }

  private void apply(Row row, List<Placements.VersionedRow> placed) {
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
