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

/**
 * Deletes expired claims, and the leases of nodes that are leaving or have not renewed for a long
 * time. Only the planner runs it.
 */
final class RetentionControl {
  private static final long ROUND_INTERVAL_MILLIS = 10_000;
  private static final int MAX_ROWS_PER_READ = 500;
  private static final long LEASE_RETENTION_MILLIS = 10 * 60_000;

  private final NodeContext context;
  private long lastRoundMillis;
  private boolean running;

  RetentionControl(NodeContext context) {
    this.context = context;
    this.lastRoundMillis = context.nowMillis();
  }

  /**
   * Starts a round of deletions if the last one has ended and the interval has passed.
   *
   * @param claimRetentionMillis age at which a claim expires, in milliseconds
   * @param leases the leases as last read
   */
  void runIfDue(long claimRetentionMillis, LeaseObserver leases) {
    boolean due = context.nowMillis() - lastRoundMillis >= ROUND_INTERVAL_MILLIS;
    if (!due || running) {
      return;
    }
    running = true;
    lastRoundMillis = context.nowMillis();
    long oldestMillis = context.wall().millis() - claimRetentionMillis;
    List<String> recent =
        leases.recentRows(context.nowMillis(), LEASE_RETENTION_MILLIS).stream()
            .map(LeaseRow::key)
            .toList();
    boolean observedLongEnough = leases.hasObservedFor(LEASE_RETENTION_MILLIS, context.nowMillis());
    context
        .thread()
        .callAsync(
            () -> {
              deleteClaims(oldestMillis);
              if (observedLongEnough) {
                deleteLeases(recent);
              }
              return oldestMillis;
            },
            (done, error) -> running = false);
  }

  private void deleteClaims(long oldestMillis) throws PlatformException {
    List<Row> expired = new ArrayList<>();
    for (Row row : context.table().range(ClaimRow.PREFIX, 0, MAX_ROWS_PER_READ)) {
      Optional<ClaimRow> claim = RowCodec.decode(row.value(), ClaimRow.class);
      if (claim.filter(c -> c.writtenAtMillis() < oldestMillis).isPresent()) {
        expired.add(row);
      }
    }
    delete(expired);
  }

  private void deleteLeases(List<String> recent) throws PlatformException {
    List<Row> stale = new ArrayList<>();
    for (Row row : context.table().range(LeaseRow.PREFIX, 0, MAX_ROWS_PER_READ)) {
      if (!recent.contains(row.key())) {
        stale.add(row);
      }
    }
    delete(stale);
  }

  /** Deletes those rows that have not changed since they were read. */
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
