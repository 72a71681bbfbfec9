package io.nutmegseam.node.control;

import io.nutmegseam.core.claim.ClaimRow;
import io.nutmegseam.core.lease.LeaseObserver;
import io.nutmegseam.core.lease.LeaseRow;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.RowCodec;
import io.nutmegseam.core.platform.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Deletes expired claims and the leases of nodes that are long gone. The planner runs it. */
final class RetentionControl {
  private static final long ROUND_MILLIS = 10_000;
  private static final int MAX_ROWS = 500;
  private static final long GONE_LEASE_MILLIS = 10 * 60_000;

  private final NodeContext context;
  private long lastRoundMillis;
  private boolean running;

  RetentionControl(NodeContext context) {
    this.context = context;
    this.lastRoundMillis = context.nowMillis();
  }

  /** Runs one round, if it is time for one. */
  void round(long claimRetentionMillis, LeaseObserver leases) {
    boolean due = context.nowMillis() - lastRoundMillis >= ROUND_MILLIS;
    if (!due || running) {
      return;
    }
    running = true;
    lastRoundMillis = context.nowMillis();
    long oldestMillis = context.wall().millis() - claimRetentionMillis;
    List<String> recent =
        leases.recent(context.nowMillis(), GONE_LEASE_MILLIS).stream().map(LeaseRow::key).toList();
    boolean watchedLong = leases.hasWatchedFor(GONE_LEASE_MILLIS, context.nowMillis());
    context
        .thread()
        .call(
            () -> {
              deleteClaims(oldestMillis);
              if (watchedLong) {
                deleteLeases(recent);
              }
              return oldestMillis;
            },
            (done, error) -> running = false);
  }

  private void deleteClaims(long oldestMillis) throws PlatformException {
    List<Row> expired = new ArrayList<>();
    for (Row row : context.table().range(ClaimRow.PREFIX, 0, MAX_ROWS)) {
      Optional<ClaimRow> claim = RowCodec.decode(row.value(), ClaimRow.class);
      if (claim.filter(c -> c.writtenAtMillis() < oldestMillis).isPresent()) {
        expired.add(row);
      }
    }
    delete(expired);
  }

  private void deleteLeases(List<String> recent) throws PlatformException {
    List<Row> gone = new ArrayList<>();
    for (Row row : context.table().range(LeaseRow.PREFIX, 0, MAX_ROWS)) {
      if (!recent.contains(row.key())) {
        gone.add(row);
      }
    }
    delete(gone);
  }

  /** Deletes rows that have not changed since they were read. */
  private void delete(List<Row> rows) throws PlatformException {
    for (Row row : rows) {
      context
          .table()
          .commit(
              new Transaction(
                  List.of(new Transaction.Check(row.key(), row.version())),
                  List.of(),
                  List.of(row.key())));
    }
  }
}
