package io.nutmegseam.node.control;

import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.lease.HolderStatus;
import io.nutmegseam.core.ownership.OwnershipAction;
import io.nutmegseam.core.ownership.OwnershipEvent;
import io.nutmegseam.core.ownership.ServerOwnership;
import io.nutmegseam.core.ownership.ServerRow;
import io.nutmegseam.core.ownership.TakeoverRule;
import io.nutmegseam.core.platform.CommitResult;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.RowCodec;
import io.nutmegseam.core.platform.Transaction;
import io.nutmegseam.core.routing.RendezvousHash;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Acquires and releases the ownership of the backend servers of this node's data centre. Each
 * server has an ownership state machine; this class feeds it events and runs the actions that it
 * returns.
 */
final class OwnershipControl {
  private final NodeContext context;
  private final MembershipControl membership;
  private final ControlRowsReader rows;
  private final EngineFactory engines;
  private final TakeoverRule takeover;
  private final BiConsumer<OwnedServer, Long> onServerChange;
  private final Map<String, TrackedServer> trackedByServer = new LinkedHashMap<>();

  /** A server and the state of its ownership by this node. */
  private static final class TrackedServer {
    private final OwnedServer server;
    private ServerOwnership ownership;
    private boolean claimInFlight;

    private TrackedServer(OwnedServer server, ServerOwnership ownership) {
      this.server = server;
      this.ownership = ownership;
    }
  }

  OwnershipControl(
      NodeContext context,
      MembershipControl membership,
      ControlRowsReader rows,
      EngineFactory engines,
      TakeoverRule takeover,
      BiConsumer<OwnedServer, Long> onServerChange) {
    this.context = context;
    this.membership = membership;
    this.rows = rows;
    this.engines = engines;
    this.takeover = takeover;
    this.onServerChange = onServerChange;
  }

  /** Tracks the catalog's engines of this data centre; drops servers removed from the catalog. */
  void onCatalog(Catalog catalog) {
    for (BackendServerRecord server : catalog.backendServers()) {
      boolean local = server.isEngine() && server.dataCentre().equals(context.dataCentre());
      TrackedServer previous = trackedByServer.get(server.name());
      boolean changed = previous == null || !hasSameEngine(previous.server.record(), server);
      if (local && changed) {
        trackedByServer.put(server.name(), track(server, previous));
      }
    }
    trackedByServer.keySet().removeIf(name -> catalog.backendServer(name).isEmpty());
  }

  private static boolean hasSameEngine(BackendServerRecord one, BackendServerRecord other) {
    return one.address().equals(other.address())
        && one.memoryBytes() == other.memoryBytes()
        && one.checksFencing() == other.checksFencing();
  }

  private TrackedServer track(BackendServerRecord server, TrackedServer previous) {
    OwnedServer owned =
        new OwnedServer(context, server, engines.create(server), () -> onChange(server.name()));
    ServerOwnership ownership =
        previous == null
            ? ServerOwnership.watching(
                context.node(),
                context.incarnation(),
                server.checksFencing(),
                context.settings().timing().settleMillis())
            : previous.ownership;
    return new TrackedServer(owned, ownership);
  }

  /** Passes the ownership rows as last read to the state machines. */
  void onRows() {
    trackedByServer.forEach(
        (name, tracked) -> {
          ControlRowsReader.OwnerRow row = rows.ownerRow(name);
          apply(tracked, new OwnershipEvent.RowSeen(row.row(), row.version(), context.nowMillis()));
        });
  }

  /** Lets the state machine of every server acquire, claim or release the server. */
  void review() {
    List<String> live = membership.liveNodes(context.dataCentre());
    for (TrackedServer tracked : List.copyOf(trackedByServer.values())) {
      ServerRow row = tracked.ownership.row();
      HolderStatus holder = membership.holderStatus(row.owner(), row.incarnation());
      boolean preferred = isPreferred(tracked, live);
      if (preferred && takeover.mayTakeOver(holder, tracked.ownership.checksFencing())) {
        recordTakeover(tracked, holder);
      }
      apply(
          tracked,
          new OwnershipEvent.Review(
              preferred, holder, tracked.server.hasOrdersInFlight(), context.nowMillis()));
    }
  }

  /** Polls the servers that this node owns, and those without a live owner that it should own. */
  void poll() {
    List<String> live = membership.liveNodes(context.dataCentre());
    for (TrackedServer tracked : trackedByServer.values()) {
      ServerRow row = tracked.ownership.row();
      HolderStatus holder = membership.holderStatus(row.owner(), row.incarnation());
      boolean orphan = holder != HolderStatus.LIVE && holder != HolderStatus.SELF;
      if (tracked.ownership.maySendOrders() || (orphan && isPreferred(tracked, live))) {
        tracked.server.poll();
      }
    }
  }

  /** Returns the servers that this node may send orders to. */
  Collection<OwnedServer> ownedServers() {
    return trackedByServer.values().stream()
        .filter(tracked -> tracked.ownership.maySendOrders())
        .map(tracked -> tracked.server)
        .toList();
  }

  /** Returns the fencing number of this node's orders to a server. */
  long epoch(String server) {
    return trackedByServer.get(server).ownership.row().epoch();
  }

  /** Returns a server of this data centre if this node may send orders to it. */
  Optional<OwnedServer> ownedServer(String name) {
    return Optional.ofNullable(trackedByServer.get(name))
        .filter(tracked -> tracked.ownership.maySendOrders())
        .map(tracked -> tracked.server);
  }

  /** Returns whether this node owns a server, or is acquiring or releasing one. */
  boolean hasActiveOwnership() {
    return trackedByServer.values().stream()
        .anyMatch(t -> t.ownership.phase() != ServerOwnership.Phase.WATCHING);
  }

  private boolean isPreferred(TrackedServer tracked, List<String> live) {
    return RendezvousHash.pick(tracked.server.record().name(), live)
        .filter(context.node()::equals)
        .isPresent();
  }

  private void recordTakeover(TrackedServer tracked, HolderStatus holder) {
    boolean fromOther = holder != HolderStatus.NONE;
    if (fromOther && tracked.ownership.phase() == ServerOwnership.Phase.WATCHING) {
      context
          .events()
          .record(
              EventKind.SERVER_TAKEOVER,
              tracked.server.record().name(),
              tracked.ownership.row().owner() + ", lease status " + holder);
    }
  }

  private void onChange(String server) {
    TrackedServer tracked = trackedByServer.get(server);
    if (tracked != null) {
      onServerChange.accept(tracked.server, tracked.ownership.row().epoch());
    }
  }

  private void apply(TrackedServer tracked, OwnershipEvent event) {
    ServerOwnership.Transition transition = tracked.ownership.apply(event, takeover);
    tracked.ownership = transition.next();
    for (OwnershipAction action : transition.actions()) {
      execute(tracked, action);
    }
  }

  private void execute(TrackedServer tracked, OwnershipAction action) {
    String name = tracked.server.record().name();
    if (action instanceof OwnershipAction.WriteRow write) {
      writeRow(tracked, write);
    } else if (action instanceof OwnershipAction.ClaimEngine claim) {
      claimEngine(tracked, claim.epoch());
    } else if (action instanceof OwnershipAction.BecomeOwner) {
      context.events().record(EventKind.SERVER_OWNED, name, "epoch " + epoch(name));
      tracked.server.resetLedger();
    } else if (action instanceof OwnershipAction.StopOwning) {
      context.events().record(EventKind.SERVER_RELEASED, name, "epoch " + epoch(name));
    }
  }

  private void writeRow(TrackedServer tracked, OwnershipAction.WriteRow write) {
    String key = ServerRow.key(tracked.server.record().name());
    Transaction transaction =
        Transaction.compareAndSet(key, write.expectedVersion(), RowCodec.encode(write.row()));
    context
        .thread()
        .callAsync(
            () -> context.table().commit(transaction),
            (result, error) -> apply(tracked, writeOutcome(write.row(), result, error)));
  }

  private OwnershipEvent writeOutcome(ServerRow row, CommitResult result, Exception error) {
    if (error instanceof PlatformException || result == null) {
      return new OwnershipEvent.WriteUnknown();
    }
    return result.committed()
        ? new OwnershipEvent.WriteConfirmed(row, result.version(), context.nowMillis())
        : new OwnershipEvent.WriteConflicted();
  }

  private void claimEngine(TrackedServer tracked, long epoch) {
    if (!tracked.ownership.checksFencing()) {
      context.thread().execute(() -> apply(tracked, new OwnershipEvent.EngineClaimed(epoch)));
      return;
    }
    if (tracked.claimInFlight) {
      return;
    }
    tracked.claimInFlight = true;
    context
        .thread()
        .callAsync(
            () -> {
              tracked.server.engine().claim(epoch);
              return epoch;
            },
            (done, error) -> {
              tracked.claimInFlight = false;
              apply(tracked, claimOutcome(epoch, error));
            });
  }

  private static OwnershipEvent claimOutcome(long epoch, Exception error) {
    if (error == null) {
      return new OwnershipEvent.EngineClaimed(epoch);
    }
    boolean fenced =
        error instanceof BackendException failure
            && failure.outcome() == BackendException.Outcome.FENCED;
    return fenced ? new OwnershipEvent.EngineFenced(epoch) : new OwnershipEvent.EngineUnreachable();
  }
}
