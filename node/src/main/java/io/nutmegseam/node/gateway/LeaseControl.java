package io.nutmegseam.node.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.orders.OrderLease;
import io.nutmegseam.core.orders.OrderLeaseRow;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.StorePosition;
import io.nutmegseam.node.control.ControlThread;
import io.nutmegseam.node.rows.RowStore;
import io.nutmegseam.node.rows.TableUpdate;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/** Acquires, renews and releases the order lease in the store. Confined to the control thread. */
final class LeaseControl {
  /** Duration of the order lease; docs/PLATFORM.md compares shorter and longer ones. */
  private static final long LEASE_MILLIS = 8_000;

  private static final long LEASE_RENEWAL_MILLIS = 1_000;

  /** Time for an order to reach its server before the lease expires. */
  private static final long LEASE_MARGIN_MILLIS = 1_000;

  /**
   * Longest time from the sending of an order to its arrival at a server. Added to {@code
   * orderQuietMillis}, which applies between the arrivals of two orders.
   */
  private static final long ORDER_TRANSIT_MILLIS = 300;

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Key of the row of the lease. */
  static final String KEY = "order-lease";

  /** A row that was read longer ago does not show whether its holder still renews the lease. */
  private static final long MAX_ROW_AGE_MILLIS = 1_500;

  /** Delay before acquiring a free lease, for each node with more processor power. */
  private static final long DELAY_PER_STRONGER_NODE_MILLIS = 60;

  private static final long MAX_ACQUIRE_DELAY_MILLIS = 900;

  /**
   * Further delay before acquiring a released lease. A node that released it to restart may be back
   * by then, and can send orders without the gap that another node must keep after a handover.
   */
  private static final long RESTART_DELAY_MILLIS = 2_000;

  /** The highest era of a store that has not yet returned from an older copy. */
  static final long FIRST_ERA = 1;

  /** Delay before a failed call is retried. */
  private static final long RETRY_DELAY_MILLIS = 300;

  /** A larger change of the offset between the clocks shows that the process was suspended. */
  private static final long MAX_CLOCK_DRIFT_MILLIS = 300;

  private final OrderLease.Claimant self;
  private final RowStore rows;
  private final RowWriter writer;
  private final ControlThread thread;
  private final InstantSource monotonicClock;
  private final InstantSource wallClock;
  private final EventSink events;
  private final IntSupplier strongerNodes;
  private final BooleanSupplier mayHold;
  private OrderLease lease;
  private boolean callInFlight;
  private boolean stopping;
  private long acquirableSinceMillis = Long.MAX_VALUE;
  private long notBeforeMillis = Long.MIN_VALUE / 2;
  private long wallOffsetMillis;
  private long tableVersion;

  /**
   * Creates a control that has not read the lease row.
   *
   * @param self this process
   * @param timing durations of the lease
   * @param rows the store
   * @param writer writes a row of the project's own table
   * @param thread the control thread
   * @param clocks the monotonic clock and the time of day
   * @param strongerNodes returns the number of nodes with more processor power
   * @param mayHold returns whether this node can send orders, or no other node can
   * @param events the log
   */
  LeaseControl(
      OrderLease.Claimant self,
      OrderLease.Timing timing,
      RowStore rows,
      RowWriter writer,
      ControlThread thread,
      Clocks clocks,
      IntSupplier strongerNodes,
      BooleanSupplier mayHold,
      EventSink events) {
    this.self = self;
    this.rows = rows;
    this.writer = writer;
    this.thread = thread;
    this.monotonicClock = clocks.monotonic();
    this.wallClock = clocks.wall();
    this.events = events;
    this.strongerNodes = strongerNodes;
    this.mayHold = mayHold;
    this.lease = OrderLease.unread(self, timing);
    this.wallOffsetMillis = wallClock.millis() - monotonicClock.millis();
  }

  /** Writes a row of the project's own table. */
  @FunctionalInterface
  interface RowWriter {
    /** Writes a row if it has the expected version; returns the new version, else empty. */
    CompletableFuture<Optional<Long>> write(String key, long expectedVersion, String value);
  }

  /** The monotonic clock, which may stop while the VM is suspended, and the time of day. */
  record Clocks(InstantSource monotonic, InstantSource wall) {}

  /**
   * Acquires or renews the lease if that is due.
   *
   * @param rowAgeMillis time since the lease row was last read from the store, in milliseconds
   */
  void tick(long rowAgeMillis) {
    dropLeaseAfterSuspension();
    long nowMillis = monotonicClock.millis();
    if (callInFlight || stopping || nowMillis < notBeforeMillis) {
      return;
    }
    if (!mayHold.getAsBoolean()) {
      leaveToOthers();
      return;
    }
    OrderLease.Step step = lease.next(nowMillis);
    acquirableSinceMillis =
        step == OrderLease.Step.ACQUIRE
            ? Math.min(acquirableSinceMillis, nowMillis)
            : Long.MAX_VALUE;
    boolean mayAcquire = rowAgeMillis <= MAX_ROW_AGE_MILLIS && isAcquireDelayOver(nowMillis);
    if (step == OrderLease.Step.RENEW || (step == OrderLease.Step.ACQUIRE && mayAcquire)) {
      write(step, false);
    }
  }

  /**
   * Returns whether the delay before acquiring a free lease is over. Nodes with more processor
   * power acquire it first, since sending orders takes processor time.
   */
  private boolean isAcquireDelayOver(long nowMillis) {
    long acquireDelayMillis =
        lease.isOwnRow()
            ? 0
            : Math.min(
                MAX_ACQUIRE_DELAY_MILLIS,
                DELAY_PER_STRONGER_NODE_MILLIS * strongerNodes.getAsInt());
    boolean released = lease.row().filter(OrderLeaseRow::released).isPresent();
    long restartDelayMillis = released && !lease.isOwnRow() ? RESTART_DELAY_MILLIS : 0;
    return nowMillis - acquirableSinceMillis >= acquireDelayMillis + restartDelayMillis;
  }

  /** Observes the lease row, or its removal, in an update of the project's own table. */
  void onRows(TableUpdate<Row> update) {
    tableVersion = update.version();
    Optional<Row> row = update.items().stream().filter(r -> r.key().equals(KEY)).findFirst();
    if (row.isPresent()) {
      observe(decode(row.get()));
    } else if (update.full() || update.removedKeys().contains(KEY)) {
      boolean lost = StorePosition.era(tableVersion) > FIRST_ERA;
      observe(lost ? OrderLeaseRow.LOST : OrderLeaseRow.ABSENT);
    }
  }

  /** Applies a row to the state of the lease; ignores a row that was read before the last write. */
  private void observe(OrderLeaseRow row) {
    boolean outdated =
        row.version() > 0 && row.version() < lease.row().map(OrderLeaseRow::version).orElse(0L);
    if (callInFlight || outdated) {
      return;
    }
    boolean hadTenure = lease.tenure().isPresent();
    lease = lease.observe(row, monotonicClock.millis());
    if (hadTenure && lease.tenure().isEmpty()) {
      events.record(EventKind.LEASE_LOST, KEY, "row " + lease.row());
    }
  }

  /** Returns the fence of the current tenure, or empty if this node must not send orders now. */
  Optional<Long> fence() {
    dropLeaseAfterSuspension();
    return lease.maySendOrders(monotonicClock.millis())
        ? lease.tenure().map(OrderLease.Tenure::fence)
        : Optional.empty();
  }

  /** Returns the monotonic time after which no order of this tenure may be sent. */
  long ordersUntilMillis() {
    return lease.ordersUntilMillis();
  }

  /** Returns the lease row as last read or written, or empty if it is unknown. */
  Optional<OrderLeaseRow> row() {
    return lease.row();
  }

  /** Releases the lease, so that the next holder need not wait until it lapses. */
  void release() {
    stopping = true;
    if (lease.tenure().isPresent()) {
      write(OrderLease.Step.RENEW, true);
      lease = lease.withoutTenure();
    }
  }

  /** Releases the lease, if this node holds it, for as long as it cannot send orders. */
  private void leaveToOthers() {
    acquirableSinceMillis = Long.MAX_VALUE;
    if (lease.tenure().isPresent()) {
      events.record(EventKind.LEASE_LOST, KEY, "released, since servers are not reached");
      OrderLeaseRow next = ownRow(0, true, lease.handoverMillis(monotonicClock.millis()));
      long expected = lease.expectedVersion();
      lease = lease.withoutTenure();
      callInFlight = true;
      writer
          .write(KEY, expected, encode(next, StorePosition.era(Math.max(expected, tableVersion))))
          .whenComplete((version, e) -> thread.execute(this::read));
    }
  }

  /**
   * Drops the lease if the process has been suspended, which shows as a jump of the time of day
   * relative to the monotonic clock.
   */
  private void dropLeaseAfterSuspension() {
    long offsetMillis = wallClock.millis() - monotonicClock.millis();
    long driftMillis = Math.abs(offsetMillis - wallOffsetMillis);
    if (driftMillis > MAX_CLOCK_DRIFT_MILLIS) {
      wallOffsetMillis = offsetMillis;
      if (lease.tenure().isPresent()) {
        events.record(
            EventKind.LEASE_LOST,
            KEY,
            "monotonic clock and time of day drifted apart by " + driftMillis + " ms");
        lease = lease.withoutTenure();
      }
    }
  }

  private void read() {
    callInFlight = true;
    rows.get(StoreWatcher.OWN_TABLE, KEY)
        .whenComplete((row, e) -> thread.execute(() -> onRead(row, e)));
  }

  private void onRead(Optional<Row> row, Throwable failure) {
    callInFlight = false;
    if (failure != null) {
      // The table watcher logs the outage; a tick after the delay calls the store again.
      notBeforeMillis = monotonicClock.millis() + RETRY_DELAY_MILLIS;
      return;
    }
    // The next update of the table shows in which era a missing row is missing.
    row.map(LeaseControl::decode).ifPresent(this::observe);
  }

  private void write(OrderLease.Step step, boolean release) {
    callInFlight = true;
    long sentMillis = monotonicClock.millis();
    long expected = lease.expectedVersion();
    OrderLeaseRow next = ownRow(0, release, lease.handoverMillis(sentMillis));
    writer
        .write(KEY, expected, encode(next, StorePosition.era(Math.max(expected, tableVersion))))
        .whenComplete(
            (version, e) -> thread.execute(() -> onWritten(step, next, sentMillis, version, e)));
  }

  private void onWritten(
      OrderLease.Step step,
      OrderLeaseRow written,
      long sentMillis,
      Optional<Long> version,
      Throwable failure) {
    callInFlight = false;
    if (stopping) {
      return;
    }
    if (failure != null || version.isEmpty()) {
      // The write may still take effect, so the row has to be read.
      read();
      return;
    }
    OrderLeaseRow row = ownRow(version.get(), false, written.handoverMillis());
    if (step == OrderLease.Step.RENEW && lease.tenure().isEmpty()) {
      lease = lease.observe(row, monotonicClock.millis());
      return;
    }
    lease = lease.afterWrite(row, sentMillis, monotonicClock.millis());
    if (step == OrderLease.Step.ACQUIRE) {
      events.record(EventKind.LEASE_ACQUIRED, KEY, "tenure " + lease.tenure());
    }
  }

  private OrderLeaseRow ownRow(long version, boolean released, long handoverMillis) {
    return new OrderLeaseRow(
        version, self.process(), self.node(), self.peerAddress(), released, handoverMillis, false);
  }

  private static String encode(OrderLeaseRow row, long era) {
    return JSON.createObjectNode()
        .put("holder", row.holder())
        .put("node", row.node())
        .put("peerAddress", row.peerAddress())
        .put("released", row.released())
        .put("handoverMillis", row.handoverMillis())
        .put("era", era)
        .toString();
  }

  private static OrderLeaseRow decode(Row row) {
    try {
      JsonNode json = JSON.readTree(row.value());
      return new OrderLeaseRow(
          row.version(),
          json.path("holder").asText(),
          json.path("node").asText(),
          json.path("peerAddress").asText(),
          json.path("released").asBoolean(),
          json.path("handoverMillis").asLong(),
          json.path("era").asLong() < StorePosition.era(row.version()));
    } catch (JsonProcessingException e) {
      // Nobody can renew an unreadable row, so it counts as held by an unknown process until it
      // lapses.
      return new OrderLeaseRow(row.version(), "unreadable", "", "", false, 0, false);
    }
  }

  /**
   * Returns the times that the lease keeps to.
   *
   * @param orderQuietMillis time without an order between two holders, at the servers
   */
  static OrderLease.Timing timing(long orderQuietMillis) {
    return new OrderLease.Timing(
        LEASE_MILLIS,
        LEASE_RENEWAL_MILLIS,
        LEASE_MARGIN_MILLIS,
        orderQuietMillis + ORDER_TRANSIT_MILLIS);
  }
}
