package io.nutmegseam.core.orders;

import java.util.Optional;

/**
 * The lease that lets a single node send orders to servers, which do not check the sender. Versions
 * are {@linkplain io.nutmegseam.core.platform.StorePosition positions} in the history of the store,
 * so the fence of a tenure is higher than those of earlier ones even if the store's versions go
 * back. All times are in milliseconds of a monotonic clock. Since that clock may stop during a
 * suspension, the caller ends the tenure when the monotonic clock and the wall clock diverge.
 * Immutable.
 */
public final class OrderLease {
  private final Claimant self;
  private final Timing timing;
  private final Optional<OrderLeaseRow> row;
  private final long rowUnchangedSinceMillis;
  private final Optional<Tenure> tenure;

  /**
   * The durations that govern a lease.
   *
   * @param leaseMillis a lease whose row has not changed for this time may be acquired
   * @param renewMillis time between renewals
   * @param marginMillis the holder stops sending orders this long before its lease expires
   * @param handoverGapMillis minimum time between the orders of two successive holders
   */
  public record Timing(
      long leaseMillis, long renewMillis, long marginMillis, long handoverGapMillis) {}

  /**
   * A period in which this node holds the lease.
   *
   * @param fence number of the tenure; higher than that of every earlier one
   * @param version version of the lease row
   * @param renewedMillis time at which the last successful write of the row was sent
   * @param ordersFromMillis time from which orders may be sent
   */
  public record Tenure(long fence, long version, long renewedMillis, long ordersFromMillis) {}

  /**
   * A process that may hold the lease.
   *
   * @param process name of the process
   * @param node name of its node
   * @param peerAddress address at which other nodes reach it, as {@code host:port}
   */
  public record Claimant(String process, String node, String peerAddress) {
    private boolean isHolderOf(OrderLeaseRow row) {
      return row.holder().equals(process);
    }

    /**
     * Returns whether the holder was an earlier process of the same VM. That process has ended,
     * since this one uses its address.
     */
    private boolean replacesHolderOf(OrderLeaseRow row) {
      return row.node().equals(node) && row.peerAddress().equals(peerAddress);
    }
  }

  /** The next step of a node. */
  public enum Step {
    /** Write nothing. */
    WAIT,
    /** Write the row to acquire the lease. */
    ACQUIRE,
    /** Write the row to renew the lease. */
    RENEW
  }

  private OrderLease(
      Claimant self,
      Timing timing,
      Optional<OrderLeaseRow> row,
      long rowUnchangedSinceMillis,
      Optional<Tenure> tenure) {
    this.self = self;
    this.timing = timing;
    this.row = row;
    this.rowUnchangedSinceMillis = rowUnchangedSinceMillis;
    this.tenure = tenure;
  }

  /**
   * Creates the state of a node that has not read the lease row.
   *
   * @param self process of the node
   * @param timing durations of the lease
   */
  public static OrderLease unread(Claimant self, Timing timing) {
    return new OrderLease(self, timing, Optional.empty(), Long.MAX_VALUE, Optional.empty());
  }

  /**
   * Returns the state after a read of the row, {@link OrderLeaseRow#ABSENT} or {@link
   * OrderLeaseRow#LOST} if there is none.
   */
  public OrderLease observe(OrderLeaseRow read, long nowMillis) {
    boolean changed = row.isEmpty() || row.get().version() != read.version();
    long since = changed ? nowMillis : rowUnchangedSinceMillis;
    // A restored row does not show whether another process has held the lease since this tenure
    // expired.
    boolean provesTenure = !read.restored() || nowMillis < ordersUntilMillis();
    boolean stillHolder = tenure.isPresent() && self.isHolderOf(read) && provesTenure;
    return new OrderLease(
        self, timing, Optional.of(read), since, stillHolder ? tenure : Optional.empty());
  }

  /** Returns the next step. */
  public Step next(long nowMillis) {
    if (row.isEmpty()) {
      return Step.WAIT;
    }
    if (tenure.isPresent()) {
      boolean due = nowMillis - tenure.get().renewedMillis() >= timing.renewMillis();
      return due ? Step.RENEW : Step.WAIT;
    }
    boolean free = row.get().holder().isEmpty() || row.get().released();
    boolean lapsed = nowMillis - rowUnchangedSinceMillis >= timing.leaseMillis();
    return free || lapsed || isOwnRow() ? Step.ACQUIRE : Step.WAIT;
  }

  /** Returns whether the row names this process, or an earlier one of the same VM, as holder. */
  public boolean isOwnRow() {
    return row.filter(r -> self.isHolderOf(r) || self.replacesHolderOf(r)).isPresent();
  }

  /** Returns the version that the next write expects; 0 if no row was read. */
  public long expectedVersion() {
    return row.map(OrderLeaseRow::version).orElse(0L);
  }

  /**
   * Returns the state after a successful write of the row by this node.
   *
   * @param written row as written, with its new version
   * @param sentMillis time at which the write was sent
   * @param nowMillis current time
   */
  public OrderLease afterWrite(OrderLeaseRow written, long sentMillis, long nowMillis) {
    boolean renewal = tenure.isPresent();
    long fence = renewal ? tenure.get().fence() : written.version();
    long ordersFrom = renewal ? tenure.get().ordersFromMillis() : ordersFromMillis(nowMillis);
    Tenure next = new Tenure(fence, written.version(), sentMillis, ordersFrom);
    return new OrderLease(self, timing, Optional.of(written), nowMillis, Optional.of(next));
  }

  /** Returns the state without a tenure, for a node that may no longer hold the lease. */
  public OrderLease withoutTenure() {
    return new OrderLease(self, timing, row, rowUnchangedSinceMillis, Optional.empty());
  }

  /** Returns the tenure, or empty if this node does not hold the lease. */
  public Optional<Tenure> tenure() {
    return tenure;
  }

  /** Returns the row as last read or written, or empty if it was not read. */
  public Optional<OrderLeaseRow> row() {
    return row;
  }

  /** Returns whether this node may send orders. */
  public boolean maySendOrders(long nowMillis) {
    return tenure.filter(t -> nowMillis >= t.ordersFromMillis()).isPresent()
        && nowMillis < ordersUntilMillis();
  }

  /**
   * Returns the time from which no order may be sent unless the lease is renewed before; {@link
   * Long#MIN_VALUE} without a tenure.
   */
  public long ordersUntilMillis() {
    return tenure
        .map(t -> t.renewedMillis() + timing.leaseMillis() - timing.marginMillis())
        .orElse(Long.MIN_VALUE);
  }

  /**
   * Returns the time from now until this node may send orders if it writes the row now, in
   * milliseconds; 0 if it may send them at once.
   */
  public long handoverMillis(long nowMillis) {
    long fromMillis =
        tenure.map(Tenure::ordersFromMillis).orElseGet(() -> ordersFromMillis(nowMillis));
    return Math.max(0, fromMillis - nowMillis);
  }

  private long ordersFromMillis(long nowMillis) {
    if (row.isEmpty()) {
      return nowMillis;
    }
    if (row.get().restored()) {
      // A holder in the lost history may send orders until its lease, renewed there, expires.
      long lastOrderMillis = rowUnchangedSinceMillis + timing.leaseMillis() - timing.marginMillis();
      return Math.max(nowMillis, lastOrderMillis + timing.handoverGapMillis());
    }
    if (row.get().holder().isEmpty()) {
      return nowMillis;
    }
    if (self.replacesHolderOf(row.get())) {
      // An earlier process of this VM, or an acquisition of this one whose response was lost.
      return Math.max(nowMillis, rowUnchangedSinceMillis + row.get().handoverMillis());
    }
    if (row.get().released()) {
      return Math.max(nowMillis, rowUnchangedSinceMillis + timing.handoverGapMillis());
    }
    // A holder that let its lease expire sent its last order at least the margin before that.
    return nowMillis + Math.max(0, timing.handoverGapMillis() - timing.marginMillis());
  }
}
