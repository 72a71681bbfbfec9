package io.nutmegseam.node.claim;

import io.nutmegseam.core.claim.ClaimRow;
import io.nutmegseam.core.claim.ClaimRule;
import io.nutmegseam.core.claim.ClaimStateMachine;
import io.nutmegseam.core.claim.ClaimStateMachine.Event;
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

/**
 * Acquires, completes and abandons claims of idempotency keys, which are rows of the table service.
 * Thread-safe; calls block.
 */
public final class ClaimRegistry {
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final int ONE_ROW = 1;

  private final String node;
  private final String incarnation;
  private final TableService table;
  private final GroupCommitter committer;
  private final HolderCheck holderCheck;
  private final int maxStoredResponseBytes;
  private final Clock wall;
  private final EventSink events;

  /** Decides whether the holder of a claim may still run its call. */
  @FunctionalInterface
  public interface HolderCheck {
    /**
     * Returns whether the holder of a claim may still run its call.
     *
     * @param row the row of the claim
     * @throws PlatformException if the table service gives no usable response
     */
    boolean mayStillRun(ClaimRow row) throws PlatformException;
  }

  /**
   * A request for a claim.
   *
   * @param key key of the claim row
   * @param attemptId id of the attempt that claims the key
   * @param fingerprint hash of the request
   * @param deadlineMillis monotonic deadline of the request
   */
  public record Request(String key, String attemptId, String fingerprint, long deadlineMillis) {}

  /**
   * The result of a request: an acquired claim, or the stored response of an earlier call.
   *
   * @param key key of the claim row
   * @param ownRow the row as this attempt writes it
   * @param completedRow the row with the stored response; empty if this attempt holds the claim
   */
  public record Claim(String key, ClaimRow ownRow, Optional<ClaimRow> completedRow) {}

  /**
   * Creates the registry.
   *
   * @param node name of this node
   * @param incarnation incarnation of this node
   * @param table the table service, for reads
   * @param committer commits the writes
   * @param holderCheck decides whether holders may still run their calls
   * @param maxStoredResponseBytes size of the largest response body that is stored, in bytes
   * @param wall wall clock
   * @param events event log
   */
  public ClaimRegistry(
      String node,
      String incarnation,
      TableService table,
      GroupCommitter committer,
      HolderCheck holderCheck,
      int maxStoredResponseBytes,
      Clock wall,
      EventSink events) {
    this.node = node;
    this.incarnation = incarnation;
    this.table = table;
    this.committer = committer;
    this.holderCheck = holderCheck;
    this.maxStoredResponseBytes = maxStoredResponseBytes;
    this.wall = wall;
    this.events = events;
  }

  /**
   * Claims an idempotency key.
   *
   * @param request the claim to acquire
   * @return the acquired claim, or the stored response of an earlier call
   * @throws RequestException if the call must not be dispatched
   */
  public Claim claim(Request request) throws RequestException {
    ClaimRow ownRow = ownRow(request);
    ClaimStateMachine machine = ClaimStateMachine.start();
    Optional<Row> found = Optional.empty();
    while (true) {
      switch (machine.phase()) {
        case INSERTING -> machine = machine.apply(insert(request.key(), ownRow, machine));
        case READING_BACK -> {
          try {
            found = read(request.key());
            machine = machine.apply(readEvent(found, request));
          } catch (PlatformException e) {
            machine = machine.apply(new Event.ReadFailed());
          }
        }
        case HELD -> {
          events.record(EventKind.CLAIM_CONFIRMED, request.attemptId(), request.key());
          return new Claim(request.key(), ownRow, Optional.empty());
        }
        case BLOCKED -> {
          return replayOrReject(request, ownRow, found.orElseThrow());
        }
        case REFUSED -> {
          abandon(new Claim(request.key(), ownRow, Optional.empty()));
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
   * Records the response of a call that ran.
   *
   * @param claim the claim that the attempt holds
   * @param status HTTP status of the response
   * @param contentType content type of the response
   * @param body body of the response; not stored if it exceeds the limit, in which case a repeat of
   *     the call is rejected as having an unknown outcome
   */
  public void finish(Claim claim, int status, String contentType, ByteString body) {
    String stored = body.size() <= maxStoredResponseBytes ? body.base64() : "";
    replaceOwnRow(claim, claim.ownRow().done(status, contentType, stored, wall.millis()));
  }

  /** Records that a call ended with an unknown outcome, so that a repeat does not run it. */
  public void finishUnknown(Claim claim) {
    replaceOwnRow(claim, claim.ownRow().done(0, "", "", wall.millis()));
  }

  /** Records that a call certainly did not run, so that a repeat may run it. */
  public void abandon(Claim claim) {
    replaceOwnRow(claim, claim.ownRow().abandoned(wall.millis()));
  }

  private ClaimRow ownRow(Request request) {
    return new ClaimRow(
        request.attemptId(),
        node,
        incarnation,
        request.fingerprint(),
        ClaimRow.State.CLAIMED,
        0,
        "",
        "",
        wall.millis());
  }

  private Event insert(String key, ClaimRow ownRow, ClaimStateMachine machine) {
    Transaction insert =
        Transaction.compareAndSet(key, machine.expectedVersion(), RowCodec.encode(ownRow));
    try {
      CommitResult result = committer.commit(insert);
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
    boolean holderLive =
        row.get().state() == ClaimRow.State.CLAIMED && holderCheck.mayStillRun(row.get());
    return ClaimRule.decide(row.get(), request.attemptId(), request.fingerprint(), holderLive);
  }

  private Claim replayOrReject(Request request, ClaimRow ownRow, Row found)
      throws RequestException {
    ClaimRow row = RowCodec.decode(found.value(), ClaimRow.class).orElse(ownRow);
    ClaimRule.Decision decision;
    try {
      decision = decide(found, request);
    } catch (PlatformException e) {
      decision = ClaimRule.Decision.IN_PROGRESS;
    }
    return switch (decision) {
      case REPLAY -> new Claim(request.key(), ownRow, Optional.of(row));
      case CONFLICT ->
          throw new RequestException(
              ErrorKind.IDEMPOTENCY_CONFLICT, "the idempotency key was used with another request");
      case UNKNOWN ->
          throw new RequestException(
              ErrorKind.OUTCOME_UNKNOWN,
              "an earlier call with the idempotency key has an unknown outcome");
      default ->
          throw new RequestException(
              ErrorKind.CALL_IN_PROGRESS,
              "a call with the idempotency key is running",
              RETRY_AFTER_MILLIS);
    };
  }

  /** Replaces the row of a claim, if the row is still that of the same attempt. */
  private void replaceOwnRow(Claim claim, ClaimRow row) {
    EventKind kind =
        row.state() == ClaimRow.State.DONE ? EventKind.CLAIM_DONE : EventKind.CLAIM_ABANDONED;
    try {
      Optional<Row> found = read(claim.key());
      Optional<ClaimRow> current = found.flatMap(r -> RowCodec.decode(r.value(), ClaimRow.class));
      boolean ownsRow =
          current.filter(c -> c.attempt().equals(claim.ownRow().attempt())).isPresent();
      if (!ownsRow) {
        return;
      }
      CommitResult result =
          committer.commit(
              Transaction.compareAndSet(claim.key(), found.get().version(), RowCodec.encode(row)));
      events.record(
          result.committed() ? kind : EventKind.CLAIM_UNRECORDED,
          claim.ownRow().attempt(),
          claim.key());
    } catch (PlatformException e) {
      events.record(EventKind.CLAIM_UNRECORDED, claim.ownRow().attempt(), e.getMessage());
    }
  }
}
