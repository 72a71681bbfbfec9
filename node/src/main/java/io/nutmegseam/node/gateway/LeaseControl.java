package io.nutmegseam.node.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.orders.OrderLease;
import io.nutmegseam.core.orders.OrderLeaseRow;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.control.ControlThread;
import io.nutmegseam.node.rows.RowStore;
import io.nutmegseam.node.rows.TableUpdate;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;

/** Keeps the order lease in the store. Confined to the control thread. */
final class LeaseControl {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String KEY = "order-lease";

  /** A row that was read longer ago says nothing about whether its holder still renews it. */
  private static final long MAX_ROW_AGE_MILLIS = 1_500;

  /** Each stronger node has this long to take a free lease first. */
  private static final long DEFERENCE_MILLIS = 60;

  private static final long MAX_DEFERENCE_MILLIS = 900;

  /** A node that stops may be back by then; it need not wait for the quiet time. */
  private static final long RESTART_MILLIS = 2_000;

  /** Time before a call that failed is made again. */
  private static final long RETRY_MILLIS = 300;

  /** A holder whose clocks differ by more than this has been suspended. */
  private static final long MAX_CLOCK_DRIFT_MILLIS = 300;

  private final OrderLease.Claimant self;
  private final RowStore rows;
  private final RowWriter writer;
  private final ControlThread thread;
  private final InstantSource steady;
  private final InstantSource wall;
  private final EventSink events;
  private final IntSupplier strongerNodes;
  private OrderLease lease;
  private boolean calling;
  private boolean stopping;
  private long acquirableSinceMillis = Long.MAX_VALUE;
  private long notBeforeMillis = Long.MIN_VALUE / 2;
  private long wallOffsetMillis;

  /**
   * Creates the control.
   *
   * @param self names this process
   * @param timing the times of the lease
   * @param rows the store
   * @param writer writes a row of the project's own table
   * @param thread the control thread
   * @param clocks the monotonic clock and the time of day
   * @param strongerNodes tells the number of nodes that have more power
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
      EventSink events) {
    this.self = self;
    this.rows = rows;
    this.writer = writer;
    this.thread = thread;
    this.steady = clocks.steady();
    this.wall = clocks.wall();
    this.events = events;
    this.strongerNodes = strongerNodes;
    this.lease = OrderLease.unread(self, timing);
    this.wallOffsetMillis = wall.millis() - steady.millis();
  }

  /** Writes a row of the project's own table. */
  @FunctionalInterface
  interface RowWriter {
    /** Writes a row if it has the expected version; returns the new one, or empty. */
    CompletableFuture<Optional<Long>> write(String key, long expectedVersion, String value);
  }

  /** The monotonic clock, which may stand still in a suspension, and the time of day. */
  record Clocks(InstantSource steady, InstantSource wall) {}

  /**
   * Takes or renews the lease when that is due.
   *
   * @param rowAgeMillis time since the store last told the row, in milliseconds
   */
  void tick(long rowAgeMillis) {
    checkClocks();
    long nowMillis = steady.millis();
    if (calling || stopping || nowMillis < notBeforeMillis) {
      return;
    }
    OrderLease.Step step = lease.next(nowMillis);
    acquirableSinceMillis =
        step == OrderLease.Step.ACQUIRE
            ? Math.min(acquirableSinceMillis, nowMillis)
            : Long.MAX_VALUE;
    boolean mayTake = rowAgeMillis <= MAX_ROW_AGE_MILLIS && isOwnTurn(nowMillis);
    if (step == OrderLease.Step.RENEW || (step == OrderLease.Step.ACQUIRE && mayTake)) {
      write(step, false);
    }
  }

  /** A free lease is left to stronger nodes for a moment; giving orders takes processor time. */
  private boolean isOwnTurn(long nowMillis) {
    long deferenceMillis =
        lease.isOwn()
            ? 0
            : Math.min(MAX_DEFERENCE_MILLIS, DEFERENCE_MILLIS * strongerNodes.getAsInt());
    boolean released = lease.row().filter(OrderLeaseRow::released).isPresent();
    long restartMillis = released && !lease.isOwn() ? RESTART_MILLIS : 0;
    return nowMillis - acquirableSinceMillis >= deferenceMillis + restartMillis;
  }

  /** Takes in the rows of the project's own table. */
  void onRows(TableUpdate<Row> batch) {
    Optional<Row> row = batch.items().stream().filter(r -> r.key().equals(KEY)).findFirst();
    if (row.isPresent()) {
      observe(decode(row.get()));
    } else if (batch.full() || batch.removedKeys().contains(KEY)) {
      observe(OrderLeaseRow.ABSENT);
    }
  }

  /** A row that was read before the last write is passed over. */
  private void observe(OrderLeaseRow row) {
    boolean older =
        row.version() > 0 && row.version() < lease.row().map(OrderLeaseRow::version).orElse(0L);
    if (calling || older) {
      return;
    }
    boolean held = lease.tenure().isPresent();
    lease = lease.observe(row, steady.millis());
    if (held && lease.tenure().isEmpty()) {
      events.record(EventKind.LEASE_LOST, KEY, "row " + lease.row());
    }
  }

  /** Returns the fence of the tenure in which orders may be given now. */
  Optional<Long> fence() {
    checkClocks();
    return lease.mayOrder(steady.millis())
        ? lease.tenure().map(OrderLease.Tenure::fence)
        : Optional.empty();
  }

  /** Returns the monotonic time after which no order of this tenure may leave. */
  long ordersUntilMillis() {
    return lease.ordersUntilMillis();
  }

  /** Returns the row of the lease as it was last seen. */
  Optional<OrderLeaseRow> row() {
    return lease.row();
  }

  /** Gives the lease up, so that the next holder need not wait for it to lapse. */
  void release() {
    stopping = true;
    if (lease.tenure().isPresent()) {
      write(OrderLease.Step.RENEW, true);
      lease = lease.dropped();
    }
  }

  /** A suspension shows as a jump of the time of day against the monotonic clock. */
  private void checkClocks() {
    long offsetMillis = wall.millis() - steady.millis();
    long driftMillis = Math.abs(offsetMillis - wallOffsetMillis);
    if (driftMillis > MAX_CLOCK_DRIFT_MILLIS) {
      wallOffsetMillis = offsetMillis;
      if (lease.tenure().isPresent()) {
        events.record(EventKind.LEASE_LOST, KEY, "clocks moved apart by " + driftMillis + " ms");
        lease = lease.dropped();
      }
    }
  }

  private void read() {
    calling = true;
    rows.get(StoreFollower.OWN_TABLE, KEY)
        .whenComplete((row, e) -> thread.execute(() -> onRead(row, e)));
  }

  private void onRead(Optional<Row> row, Throwable failure) {
    calling = false;
    if (failure != null) {
      // The watch on the store logs the outage; the lease is read again at the next round.
      notBeforeMillis = steady.millis() + RETRY_MILLIS;
      return;
    }
    observe(row.map(LeaseControl::decode).orElse(OrderLeaseRow.ABSENT));
  }

  private void write(OrderLease.Step step, boolean release) {
    calling = true;
    long sentMillis = steady.millis();
    long expected = lease.expectedVersion();
    OrderLeaseRow next = row(0, release);
    writer
        .write(KEY, expected, encode(next))
        .whenComplete(
            (version, e) -> thread.execute(() -> onWritten(step, sentMillis, version, e)));
  }

  private void onWritten(
      OrderLease.Step step, long sentMillis, Optional<Long> version, Throwable failure) {
    calling = false;
    if (stopping) {
      return;
    }
    if (failure != null || version.isEmpty()) {
      // The write may still land; the row as it is read next decides.
      read();
      return;
    }
    OrderLeaseRow row = row(version.get(), false);
    if (step == OrderLease.Step.RENEW && lease.tenure().isEmpty()) {
      lease = lease.observe(row, steady.millis());
      return;
    }
    lease = lease.written(row, sentMillis, steady.millis());
    if (step == OrderLease.Step.ACQUIRE) {
      events.record(EventKind.LEASE_ACQUIRED, KEY, "tenure " + lease.tenure());
    }
  }

  private OrderLeaseRow row(long version, boolean released) {
    return new OrderLeaseRow(version, self.process(), self.node(), self.peerAddress(), released);
  }

  private static String encode(OrderLeaseRow row) {
    return JSON.createObjectNode()
        .put("holder", row.holder())
        .put("node", row.node())
        .put("peerAddress", row.peerAddress())
        .put("released", row.released())
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
          json.path("released").asBoolean());
    } catch (JsonProcessingException e) {
      // A row that nobody can read is held by nobody that could still renew it.
      return new OrderLeaseRow(row.version(), "unreadable", "", "", false);
    }
  }
}
