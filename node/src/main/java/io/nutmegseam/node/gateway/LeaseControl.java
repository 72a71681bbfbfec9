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
import java.time.InstantSource;
import java.util.Optional;

/** Keeps the order lease in the store. Confined to the control thread. */
final class LeaseControl {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String TABLE = "nutmegseam";
  private static final String KEY = "order-lease";

  /** Time between reads of the row by nodes that do not hold the lease. */
  private static final long READ_MILLIS = 1_000;

  /** Time before a call that failed is made again. */
  private static final long RETRY_MILLIS = 300;

  /** A holder whose clocks differ by more than this has been suspended. */
  private static final long MAX_CLOCK_DRIFT_MILLIS = 300;

  private final String self;
  private final String node;
  private final String peerAddress;
  private final RowTable rows;
  private final ControlThread thread;
  private final InstantSource steady;
  private final InstantSource wall;
  private final EventSink events;
  private OrderLease lease;
  private boolean calling;
  private boolean stopping;
  private long readAtMillis = Long.MIN_VALUE / 2;
  private long notBeforeMillis = Long.MIN_VALUE / 2;
  private long wallOffsetMillis;

  /**
   * Creates the control.
   *
   * @param identity names this process
   * @param timing the times of the lease
   * @param rows the store
   * @param thread the control thread
   * @param clocks the monotonic clock and the time of day
   * @param events the log
   */
  LeaseControl(
      Identity identity,
      OrderLease.Timing timing,
      RowTable rows,
      ControlThread thread,
      Clocks clocks,
      EventSink events) {
    this.self = identity.process();
    this.node = identity.node();
    this.peerAddress = identity.peerAddress();
    this.rows = rows;
    this.thread = thread;
    this.steady = clocks.steady();
    this.wall = clocks.wall();
    this.events = events;
    this.lease = OrderLease.unread(self, timing);
    this.wallOffsetMillis = wall.millis() - steady.millis();
  }

  /** Names this process, its node and its peer address. */
  record Identity(String process, String node, String peerAddress) {}

  /** The monotonic clock, which may stand still in a suspension, and the time of day. */
  record Clocks(InstantSource steady, InstantSource wall) {}

  /** Reads, takes or renews the lease when that is due. */
  void tick() {
    checkClocks();
    long nowMillis = steady.millis();
    if (calling || stopping || nowMillis < notBeforeMillis) {
      return;
    }
    OrderLease.Step step = lease.next(nowMillis);
    if (step != OrderLease.Step.WAIT) {
      write(step, false);
    } else if (lease.tenure().isEmpty() && nowMillis - readAtMillis >= READ_MILLIS) {
      read();
    }
  }

  /** Returns the fence of the tenure in which orders may be given now. */
  Optional<Long> fence() {
    checkClocks();
    return lease.mayOrder(steady.millis())
        ? lease.tenure().map(OrderLease.Tenure::fence)
        : Optional.empty();
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
    rows.get(TABLE, KEY).whenComplete((row, e) -> thread.execute(() -> onRead(row, e)));
  }

  private void onRead(Optional<Row> row, Throwable failure) {
    calling = false;
    if (failure != null) {
      // The watch on the store logs the outage; the lease is read again at the next round.
      notBeforeMillis = steady.millis() + RETRY_MILLIS;
      return;
    }
    readAtMillis = steady.millis();
    boolean held = lease.tenure().isPresent();
    lease = lease.observe(row.map(LeaseControl::decode).orElse(OrderLeaseRow.ABSENT), readAtMillis);
    if (held && lease.tenure().isEmpty()) {
      events.record(EventKind.LEASE_LOST, KEY, "row " + lease.row());
    }
  }

  private void write(OrderLease.Step step, boolean release) {
    calling = true;
    long sentMillis = steady.millis();
    long expected = lease.expectedVersion();
    OrderLeaseRow next = new OrderLeaseRow(0, self, node, peerAddress, release);
    rows.write(TABLE, KEY, expected, encode(next))
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
    OrderLeaseRow row = new OrderLeaseRow(version.get(), self, node, peerAddress, false);
    if (step == OrderLease.Step.RENEW && lease.tenure().isEmpty()) {
      lease = lease.observe(row, steady.millis());
      return;
    }
    lease = lease.written(row, sentMillis, steady.millis());
    if (step == OrderLease.Step.ACQUIRE) {
      events.record(EventKind.LEASE_ACQUIRED, KEY, "tenure " + lease.tenure());
    }
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
