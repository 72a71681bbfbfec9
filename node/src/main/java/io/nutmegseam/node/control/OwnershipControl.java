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

/** Takes, keeps and releases the backend servers of this node's data centre. */
final class OwnershipControl {
  private final NodeContext context;
  private final MembershipControl membership;
  private final ControlRowsReader rows;
  private final EngineDirectory engines;
  private final TakeoverRule takeover;
  private final BiConsumer<OwnedServer, Long> onServerChange;
  private final Map<String, Tracked> trackedByServer = new LinkedHashMap<>();

  /** A server and how far this node is with its ownership. */
  private static final class Tracked {
    private final OwnedServer server;
    private ServerOwnership ownership;
    private boolean claimInFlight;

    private Tracked(OwnedServer server, ServerOwnership ownership) {
      this.server = server;
      this.ownership = ownership;
    }
  }

  OwnershipControl(
      NodeContext context,
      MembershipControl membership,
      ControlRowsReader rows,
      EngineDirectory engines,
      TakeoverRule takeover,
      BiConsumer<OwnedServer, Long> onServerChange) {
    this.context = context;
    this.membership = membership;
    this.rows = rows;
    this.engines = engines;
    this.takeover = takeover;
    this.onServerChange = onServerChange;
  }

  /** Follows the servers of the catalog. */
  void onCatalog(Catalog catalog) {
    for (BackendServerRecord server : catalog.backendServers()) {
      boolean local = server.isEngine() && server.dataCentre().equals(context.dataCentre());
      Tracked known = trackedByServer.get(server.name());
      boolean changed = known == null || !isSame(known.server.record(), server);
      if (local && changed) {
        trackedByServer.put(server.name(), track(server, known));
      }
    }
    trackedByServer.keySet().removeIf(name -> catalog.backendServer(name).isEmpty());
  }

  private static boolean isSame(BackendServerRecord one, BackendServerRecord other) {
    return one.address().equals(other.address())
        && one.memoryBytes() == other.memoryBytes()
        && one.checksFencing() == other.checksFencing();
  }

  private Tracked track(BackendServerRecord server, Tracked known) {
    OwnedServer owned =
        new OwnedServer(context, server, engines.engine(server), () -> onChange(server.name()));
    ServerOwnership ownership =
        known == null
            ? ServerOwnership.watching(
                context.node(),
                context.incarnation(),
                server.checksFencing(),
                context.settings().timing().settleMillis())
            : known.ownership;
    return new Tracked(owned, ownership);
  }

  /** Takes in the rows as last read. */
  void onRows() {
    trackedByServer.forEach(
        (name, tracked) -> {
          ControlRowsReader.OwnerRow row = rows.ownerRow(name);
          step(tracked, new OwnershipEvent.RowSeen(row.row(), row.version(), context.nowMillis()));
        });
  }

  /** Reviews every server. */
  void review() {
    List<String> live = membership.liveNodes(context.dataCentre());
    for (Tracked tracked : List.copyOf(trackedByServer.values())) {
      ServerRow row = tracked.ownership.row();
      HolderStatus holder = membership.status(row.owner(), row.incarnation());
      boolean preferred = isPreferred(tracked, live);
      if (preferred && takeover.mayTake(holder, tracked.ownership.checksFencing())) {
        noteTakeover(tracked, holder);
      }
      step(
          tracked,
          new OwnershipEvent.Review(
              preferred, holder, tracked.server.hasOrdersInFlight(), context.nowMillis()));
    }
  }

  /** Polls the servers that this node owns, and those that no live node owns. */
  void poll() {
    List<String> live = membership.liveNodes(context.dataCentre());
    for (Tracked tracked : trackedByServer.values()) {
      ServerRow row = tracked.ownership.row();
      HolderStatus holder = membership.status(row.owner(), row.incarnation());
      boolean orphan = holder != HolderStatus.LIVE && holder != HolderStatus.SELF;
      if (tracked.ownership.mayOrder() || (orphan && isPreferred(tracked, live))) {
        tracked.server.poll();
      }
    }
  }

  /** Returns the servers that this node may give orders to. */
  Collection<OwnedServer> owned() {
    return trackedByServer.values().stream()
        .filter(tracked -> tracked.ownership.mayOrder())
        .map(tracked -> tracked.server)
        .toList();
  }

  /** Returns the fencing number under which this node gives orders to a server. */
  long epoch(String server) {
    return trackedByServer.get(server).ownership.row().epoch();
  }

  /** Returns a server of this data centre if this node may give orders to it. */
  Optional<OwnedServer> ownedServer(String name) {
    return Optional.ofNullable(trackedByServer.get(name))
        .filter(tracked -> tracked.ownership.mayOrder())
        .map(tracked -> tracked.server);
  }

  /** Returns whether the node still holds a server or waits for a row write. */
  boolean holdsAny() {
    return trackedByServer.values().stream()
        .anyMatch(t -> t.ownership.phase() != ServerOwnership.Phase.WATCHING);
  }

  private boolean isPreferred(Tracked tracked, List<String> live) {
    return RendezvousHash.pick(tracked.server.record().name(), live)
        .filter(context.node()::equals)
        .isPresent();
  }

  private void noteTakeover(Tracked tracked, HolderStatus holder) {
    boolean fromOther = holder != HolderStatus.NONE;
    if (fromOther && tracked.ownership.phase() == ServerOwnership.Phase.WATCHING) {
      context
          .events()
          .record(
              EventKind.SERVER_TAKEOVER,
              tracked.server.record().name(),
              tracked.ownership.row().owner() + " " + holder);
    }
  }

  private void onChange(String server) {
    Tracked tracked = trackedByServer.get(server);
    if (tracked != null) {
      onServerChange.accept(tracked.server, tracked.ownership.row().epoch());
    }
  }

  private void step(Tracked tracked, OwnershipEvent event) {
    ServerOwnership.Step step = tracked.ownership.on(event, takeover);
    tracked.ownership = step.next();
    for (OwnershipAction action : step.actions()) {
      run(tracked, action);
    }
  }

  private void run(Tracked tracked, OwnershipAction action) {
    String name = tracked.server.record().name();
    if (action instanceof OwnershipAction.WriteRow write) {
      writeRow(tracked, write);
    } else if (action instanceof OwnershipAction.ClaimEngine claim) {
      claimEngine(tracked, claim.epoch());
    } else if (action instanceof OwnershipAction.BecomeOwner) {
      context.events().record(EventKind.SERVER_OWNED, name, "epoch " + epoch(name));
      tracked.server.restartLedger();
    } else if (action instanceof OwnershipAction.StopOwning) {
      context.events().record(EventKind.SERVER_RELEASED, name, "epoch " + epoch(name));
    }
  }

  private void writeRow(Tracked tracked, OwnershipAction.WriteRow write) {
    String key = ServerRow.key(tracked.server.record().name());
    Transaction transaction =
        Transaction.compareAndSet(key, write.expectedVersion(), RowCodec.encode(write.row()));
    context
        .thread()
        .call(
            () -> context.table().commit(transaction),
            (result, error) -> step(tracked, writeOutcome(result, error)));
  }

  private OwnershipEvent writeOutcome(CommitResult result, Exception error) {
    if (error instanceof PlatformException || result == null) {
      return new OwnershipEvent.RowUnknown();
    }
    return result.committed()
        ? new OwnershipEvent.RowWritten(result.version(), context.nowMillis())
        : new OwnershipEvent.RowRefused();
  }

  private void claimEngine(Tracked tracked, long epoch) {
    if (!tracked.ownership.checksFencing()) {
      context.thread().execute(() -> step(tracked, new OwnershipEvent.EngineClaimed()));
      return;
    }
    if (tracked.claimInFlight) {
      return;
    }
    tracked.claimInFlight = true;
    context
        .thread()
        .call(
            () -> {
              tracked.server.engine().claim(epoch);
              return epoch;
            },
            (done, error) -> {
              tracked.claimInFlight = false;
              step(tracked, claimOutcome(error));
            });
  }

  private static OwnershipEvent claimOutcome(Exception error) {
    if (error == null) {
      return new OwnershipEvent.EngineClaimed();
    }
    boolean fenced =
        error instanceof BackendException failure
            && failure.outcome() == BackendException.Outcome.FENCED;
    return fenced ? new OwnershipEvent.EngineFenced() : new OwnershipEvent.EngineUnreachable();
  }
}
