package io.nutmegseam.node.control;

import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.node.peer.Outbox;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.ServerState;
import io.nutmegseam.node.peer.generated.ServerStates;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Shares the state of backend servers with the peers and keeps what peers say. */
final class ServerStateShare {
  private final Outbox outbox;
  private final ServerLoadTracker loads;
  private final Predicate<String> isNear;
  private final Map<String, ServerView> views = new HashMap<>();
  private final Set<String> greeted = new HashSet<>();

  /**
   * Creates the part.
   *
   * @param outbox sends frames
   * @param loads takes the loads that peers report
   * @param isNear says whether a node is in this data centre
   */
  ServerStateShare(Outbox outbox, ServerLoadTracker loads, Predicate<String> isNear) {
    this.outbox = outbox;
    this.loads = loads;
    this.isNear = isNear;
  }

  Map<String, ServerView> views() {
    return views;
  }

  /** Takes in a view of this node and tells every peer. */
  void onOwnChange(OwnedServer server, long epoch) {
    ServerView view = server.view(epoch);
    views.put(view.server(), view);
    loads.recordLoad(view.server(), server.report().running() + server.report().queued());
    broadcast(full(server, view), node -> true);
  }

  /** Takes in the states that a peer sent; returns whether what is loaded changed. */
  boolean onPeerStates(ServerStates message) {
    boolean changed = false;
    for (ServerState state : message.getStatesList()) {
      loads.recordLoad(state.getServer(), state.getRunning() + state.getQueued());
      if (!state.getLoadOnly()) {
        changed |= take(decoded(state));
      }
    }
    return changed;
  }

  /** Tells the load of the owned servers to the nodes of this data centre, or to all. */
  void shareLoads(Collection<OwnedServer> owned, boolean far) {
    ServerStates.Builder message = ServerStates.newBuilder();
    for (OwnedServer server : owned) {
      int load = server.report().running() + server.report().queued();
      boolean news = loads.lastSample(server.record().name()).load() != load;
      loads.recordLoad(server.record().name(), load);
      if (news || load > 0) {
        message.addStates(load(server));
      }
    }
    if (message.getStatesCount() > 0) {
      PeerFrame.Builder frame = PeerFrame.newBuilder().setServerStates(message);
      broadcast(frame, node -> far || isNear.test(node));
    }
  }

  /** Tells every state of the owned servers to peers that have connected since the last call. */
  void greetNewPeers(Collection<OwnedServer> owned) {
    Set<String> connected = outbox.connected();
    greeted.retainAll(connected);
    for (String node : connected) {
      if (greeted.add(node)) {
        owned.forEach(s -> outbox.send(node, full(s, views.get(s.record().name()))));
      }
    }
  }

  /** Forgets servers that are no longer declared. */
  void retain(Collection<BackendServerRecord> declared) {
    Set<String> names = new HashSet<>();
    declared.forEach(server -> names.add(server.name()));
    views.keySet().retainAll(names);
  }

  private boolean take(ServerView view) {
    ServerView known = views.getOrDefault(view.server(), ServerView.unknown(view.server()));
    if (!known.isOlderThan(view)) {
      return false;
    }
    views.put(view.server(), view);
    return true;
  }

  private void broadcast(PeerFrame.Builder frame, Predicate<String> to) {
    for (String node : outbox.connected()) {
      if (to.test(node)) {
        outbox.send(node, frame.clone());
      }
    }
  }

  private static PeerFrame.Builder full(OwnedServer server, ServerView known) {
    ServerView view = known == null ? ServerView.unknown(server.record().name()) : known;
    ServerState.Builder state =
        load(server).toBuilder()
            .setEpoch(view.epoch())
            .setSequence(view.sequence())
            .setReachable(view.reachable())
            .setLeaving(view.leaving())
            .addAllLoadedUnits(view.loadedUnits())
            .addAllLoadingUnits(view.loadingUnits())
            .setEngineIncarnation(view.engineIncarnation())
            .setLoadOnly(false);
    return PeerFrame.newBuilder().setServerStates(ServerStates.newBuilder().addStates(state));
  }

  private static ServerState load(OwnedServer server) {
    return ServerState.newBuilder()
        .setServer(server.record().name())
        .setRunning(server.report().running())
        .setQueued(server.report().queued())
        .setLoadOnly(true)
        .build();
  }

  private static ServerView decoded(ServerState state) {
    return new ServerView(
        state.getServer(),
        state.getEpoch(),
        state.getSequence(),
        state.getReachable(),
        state.getLeaving(),
        Set.copyOf(state.getLoadedUnitsList()),
        Set.copyOf(state.getLoadingUnitsList()),
        state.getEngineIncarnation());
  }
}
