package io.nutmegseam.core.orders;

import java.util.Optional;

/**
 * The lease under which one node gives orders to servers that do not check who gives them. Times
 * are the longer of the elapsed time on two clocks, since either may stand still. Immutable.
 */
public final class OrderLease {
  private final Claimant self;
  private final Timing timing;
  private final Optional<OrderLeaseRow> row;
  private final long rowSinceMillis;
  private final Optional<Tenure> tenure;

  /**
   * The times of a lease.
   *
   * @param leaseMillis a lease whose row has not changed for this time may be taken
   * @param renewMillis time between renewals
   * @param marginMillis the holder stops giving orders this long before its lease runs out
   * @param handoverGapMillis least time between orders of two holders
   */
  public record Timing(
      long leaseMillis, long renewMillis, long marginMillis, long handoverGapMillis) {}

  /**
   * The time for which this node holds the lease.
   *
   * @param fence number of the tenure; higher than that of every earlier one
   * @param version version of the lease row
   * @param renewedMillis time at which the last renewal that took effect was sent
   * @param ordersFromMillis time from which orders may be given
   */
  public record Tenure(long fence, long version, long renewedMillis, long ordersFromMillis) {}

  /**
   * A process that may hold the lease.
   *
   * @param process names the process
   * @param node name of its node
   * @param peerAddress address at which other nodes reach it, as {@code host:port}
   */
  public record Claimant(String process, String node, String peerAddress) {
    private boolean holds(OrderLeaseRow row) {
      return row.holder().equals(process);
    }

    /** An earlier process of the same VM has ended, since this one has taken its address. */
    private boolean succeeds(OrderLeaseRow row) {
      return row.node().equals(node) && row.peerAddress().equals(peerAddress);
    }
  }

  /** What to do next. */
  public enum Step {
    /** Nothing. */
    WAIT,
    /** Write the row to take the lease. */
    ACQUIRE,
    /** Write the row to keep the lease. */
    RENEW
  }

  private OrderLease(
      Claimant self,
      Timing timing,
      Optional<OrderLeaseRow> row,
      long rowSinceMillis,
      Optional<Tenure> tenure) {
    this.self = self;
    this.timing = timing;
    this.row = row;
    this.rowSinceMillis = rowSinceMillis;
    this.tenure = tenure;
  }

  /**
   * Creates the state of a node that has not read the row.
   *
   * @param self the node's process
   * @param timing the times
   */
  public static OrderLease unread(Claimant self, Timing timing) {
    return new OrderLease(self, timing, Optional.empty(), Long.MAX_VALUE, Optional.empty());
  }

  /** Takes in the row as it was read, or its absence. */
  public OrderLease observe(OrderLeaseRow read, long nowMillis) {
    boolean changed = row.isEmpty() || row.get().version() != read.version();
    long since = changed ? nowMillis : rowSinceMillis;
    boolean stillMine = tenure.isPresent() && self.holds(read);
    return new OrderLease(
        self, timing, Optional.of(read), since, stillMine ? tenure : Optional.empty());
  }

  /** Returns what to do. */
  public Step next(long nowMillis) {
    if (row.isEmpty()) {
      return Step.WAIT;
    }
    if (tenure.isPresent()) {
      boolean due = nowMillis - tenure.get().renewedMillis() >= timing.renewMillis();
      return due ? Step.RENEW : Step.WAIT;
    }
    boolean free = row.get().holder().isEmpty() || row.get().released();
    boolean lapsed = nowMillis - rowSinceMillis >= timing.leaseMillis();
    return free || lapsed || isOwnRow() ? Step.ACQUIRE : Step.WAIT;
  }

  /** Returns whether this process, or an earlier one of the same VM, wrote the row. */
  public boolean isOwnRow() {
    return row.filter(r -> self.holds(r) || self.succeeds(r)).isPresent();
  }

  /** Returns the version that the row must have for the next write. */
  public long expectedVersion() {
    return row.map(OrderLeaseRow::version).orElse(0L);
  }

  /**
   * Notes that this node's write took effect.
   *
   * @param written the row as it stands now
   * @param sentMillis time at which the write was sent
   * @param nowMillis time now
   */
  public OrderLease afterWrite(OrderLeaseRow written, long sentMillis, long nowMillis) {
    boolean renewal = tenure.isPresent();
    long fence = renewal ? tenure.get().fence() : written.version();
    long ordersFrom = renewal ? tenure.get().ordersFromMillis() : ordersFromMillis(nowMillis);
    Tenure next = new Tenure(fence, written.version(), sentMillis, ordersFrom);
    return new OrderLease(self, timing, Optional.of(written), nowMillis, Optional.of(next));
  }

  /** Gives the lease up, for a node that can no longer tell whether it holds it. */
  public OrderLease withoutTenure() {
    return new OrderLease(self, timing, row, rowSinceMillis, Optional.empty());
  }

  /** Returns the tenure, if this node has taken the lease and not lost it. */
  public Optional<Tenure> tenure() {
    return tenure;
  }

  /** Returns the row as it was last read or written. */
  public Optional<OrderLeaseRow> row() {
    return row;
  }

  /** Returns whether this node may give orders. */
  public boolean maySendOrders(long nowMillis) {
    return tenure.filter(t -> nowMillis >= t.ordersFromMillis()).isPresent()
        && nowMillis < ordersUntilMillis();
  }

  /** Returns the time from which no order may leave, unless the lease is renewed before. */
  public long ordersUntilMillis() {
    return tenure
        .map(t -> t.renewedMillis() + timing.leaseMillis() - timing.marginMillis())
        .orElse(Long.MIN_VALUE);
  }

  private long ordersFromMillis(long nowMillis) {
    if (row.isEmpty() || row.get().holder().isEmpty() || self.succeeds(row.get())) {
      return nowMillis;
    }
    if (row.get().released()) {
      return Math.max(nowMillis, rowSinceMillis + timing.handoverGapMillis());
    }
    // A holder that lapsed gave its last order at least the margin before its lease ran out.
    return nowMillis + Math.max(0, timing.handoverGapMillis() - timing.marginMillis());
  }
}
