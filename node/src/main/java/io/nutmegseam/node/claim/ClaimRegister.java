package io.nutmegseam.node.claim;

import io.nutmegseam.core.claim.ClaimMachine;
import io.nutmegseam.core.claim.ClaimMachine.Event;
import io.nutmegseam.core.claim.ClaimRow;
import io.nutmegseam.core.claim.ClaimRule;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.platform.CommitResult;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.RowCodec;
import io.nutmegseam.core.platform.TableService;
import io.nutmegseam.core.platform.Transaction;
import java.time.Clock;
import java.util.Optional;
import okio.ByteString;

/** Writes, reads and finishes claims. Safe for use by several threads; calls block. */
public final class ClaimRegister {
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final int ONE_ROW = 1;

  private final String node;
  private final String incarnation;
  private final TableService table;
  private final GroupCommit commits;
  private final HolderCheck holders;
  private final int storedAnswerBytes;
  private final Clock wall;
  private final EventSink events;

  /** Says whether the holder of a claim may still run its call. */
  @FunctionalInterface
  public interface HolderCheck {
    /**
     * Checks a holder.
     *
     * @param row the claim
     * @return whether the holder may still run the call
     * @throws PlatformException if that cannot be found out
     */
    boolean mayStillRun(ClaimRow row) throws PlatformException;
  }

  /**
   * A request for a claim.
   *
   * @param key key of the claim row
   * @param attempt the attempt that asks
   * @param fingerprint hash of the request
   * @param deadlineMillis monotonic deadline of the request
   */
  public record Request(String key, String attempt, String fingerprint, long deadlineMillis) {}

  /**
   * A claim that is held, or the stored answer of an earlier call.
   *
   * @param key key of the claim row
   * @param row the row as this attempt wrote it
   * @param stored the row with the stored answer; empty if the claim is held
   */
  public record Claim(String key, ClaimRow row, Optional<ClaimRow> stored) {}

  /**
   * Creates the register.
   *
   * @param node this node
   * @param incarnation this node's incarnation
   * @param table the table service, for reads
   * @param commits commits writes
   * @param holders says whether holders may still run
   * @param storedAnswerBytes largest stored answer, in bytes
   * @param wall wall clock
   * @param events event log
   */
  public ClaimRegister(
      String node,
      String incarnation,
      TableService table,
      GroupCommit commits,
      HolderCheck holders,
      int storedAnswerBytes,
      Clock wall,
      EventSink events) {
    this.node = node;
    this.incarnation = incarnation;
    this.table = table;
    this.commits = commits;
    this.holders = holders;
    this.storedAnswerBytes = storedAnswerBytes;
    this.wall = wall;
    this.events = events;
  }

  /**
   * Claims a key.
   *
   * @param request what is claimed
   * @return the held claim or the stored answer
   * @throws RequestException if the call may not be dispatched
   */
  public Claim claim(Request request) throws RequestException {
    ClaimRow own = ownRow(request);
    ClaimMachine machine = ClaimMachine.start();
    Optional<Row> found = Optional.empty();
    while (true) {
      switch (machine.phase()) {
        case INSERTING -> machine = machine.on(insert(request.key(), own, machine));
        case READING_BACK -> {
          try {
            found = read(request.key());
            machine = machine.on(readEvent(found, request));
          } catch (PlatformException e) {
            machine = machine.on(new Event.ReadFailed());
          }
        }
        case HELD -> {
          events.record(EventKind.CLAIM_CONFIRMED, request.attempt(), request.key());
          return new Claim(request.key(), own, Optional.empty());
        }
        case BLOCKED -> {
          return blocked(request, own, found.orElseThrow());
        }
        case REFUSED -> {
          abandon(new Claim(request.key(), own, Optional.empty()));
          throw new RequestException(
              ErrorKind.PLATFORM_UNAVAILABLE,
              "the claim of the idempotency key cannot be confirmed",
              RETRY_AFTER_MILLIS);
        }
        default -> throw new IllegalStateException("unknown phase " + machine.phase());
      }
    }
  }

  /**
   * Records the answer of a call that ran.
   *
   * @param claim the held claim
   * @param status HTTP status of the answer
   * @param contentType content type of the answer
   * @param body the answer; not stored if it is over the limit
   */
  public void finish(Claim claim, int status, String contentType, ByteString body) {
    String stored = body.size() <= storedAnswerBytes ? body.base64() : "";
    write(claim, claim.row().done(status, contentType, stored, wall.millis()));
  }

  /** Records that a call ended without a known outcome. */
  public void finishUnknown(Claim claim) {
    write(claim, claim.row().done(0, "", "", wall.millis()));
  }

  /** Records that a call certainly did not run, so that a repeat may run it. */
  public void abandon(Claim claim) {
    write(claim, claim.row().abandoned(wall.millis()));
  }

  private ClaimRow ownRow(Request request) {
    return new ClaimRow(
        request.attempt(),
        node,
        incarnation,
        request.fingerprint(),
        ClaimRow.State.CLAIMED,
        0,
        "",
        "",
        wall.millis());
  }

  private Event insert(String key, ClaimRow own, ClaimMachine machine) {
    Transaction insert =
        Transaction.compareAndSet(key, machine.expectedVersion(), RowCodec.encode(own));
    try {
      CommitResult result = commits.commit(insert);
      return result.committed() ? new Event.InsertConfirmed() : new Event.InsertConflicted();
    } catch (PlatformException e) {
      return new Event.InsertUnknown();
    }
  }

  private Optional<Row> read(String key) throws PlatformException {
    return table.range(key, 0, ONE_ROW).stream().filter(row -> row.key().equals(key)).findFirst();
  }

  private Event readEvent(Optional<Row> found, Request request) throws PlatformException {
    if (found.isEmpty()) {
      return new Event.RowAbsent();
    }
    return new Event.RowFound(decide(found.get(), request), found.get().version());
  }

  private ClaimRule.Decision decide(Row found, Request request) throws PlatformException {
    Optional<ClaimRow> row = RowCodec.decode(found.value(), ClaimRow.class);
    if (row.isEmpty()) {
      return ClaimRule.Decision.UNKNOWN;
    }
    boolean live = row.get().state() == ClaimRow.State.CLAIMED && holders.mayStillRun(row.get());
    return ClaimRule.decide(row.get(), request.attempt(), request.fingerprint(), live);
  }

  private Claim blocked(Request request, ClaimRow own, Row found) throws RequestException {
    ClaimRow row = RowCodec.decode(found.value(), ClaimRow.class).orElse(own);
    ClaimRule.Decision decision;
    try {
      decision = decide(found, request);
    } catch (PlatformException e) {
      decision = ClaimRule.Decision.IN_PROGRESS;
    }
    return switch (decision) {
      case REPLAY -> new Claim(request.key(), own, Optional.of(row));
      case CONFLICT ->
          throw new RequestException(
              ErrorKind.IDEMPOTENCY_CONFLICT, "the key was used with another request");
      case UNKNOWN ->
          throw new RequestException(
              ErrorKind.OUTCOME_UNKNOWN, "an earlier call with the key has an unknown outcome");
      default ->
          throw new RequestException(
              ErrorKind.CALL_IN_PROGRESS, "a call with the key is running", RETRY_AFTER_MILLIS);
    };
  }

  /** Replaces this attempt's own row; never another attempt's. */
  private void write(Claim claim, ClaimRow row) {
    EventKind kind =
        row.state() == ClaimRow.State.DONE ? EventKind.CLAIM_DONE : EventKind.CLAIM_ABANDONED;
    try {
      Optional<Row> found = read(claim.key());
      Optional<ClaimRow> present = found.flatMap(r -> RowCodec.decode(r.value(), ClaimRow.class));
      boolean own = present.filter(p -> p.attempt().equals(claim.row().attempt())).isPresent();
      if (!own) {
        return;
      }
      CommitResult result =
          commits.commit(
              Transaction.compareAndSet(claim.key(), found.get().version(), RowCodec.encode(row)));
      events.record(
          result.committed() ? kind : EventKind.CLAIM_UNRECORDED,
          claim.row().attempt(),
          claim.key());
    } catch (PlatformException e) {
      events.record(EventKind.CLAIM_UNRECORDED, claim.row().attempt(), e.getMessage());
    }
  }
}
