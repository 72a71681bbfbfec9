package io.nutmegseam.node.control;

import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.ServerState;
import io.nutmegseam.node.peer.generated.ServerStates;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** Sends the states of owned servers to peers, and keeps the newest state of every server. */
final class ServerStateExchange {
  private final PeerTransport transport;
  private final ServerLoadTracker loads;
  private final Predicate<String> isInLocalDataCentre;
  private final Map<String, ServerView> views = new HashMap<>();
  private Set<String> configuredServers = Set.of();
  private final Set<String> informedPeers = new HashSet<>();

  /**
   * Creates the component.
   *
   * @param transport sends frames to peers
   * @param loads receives the loads that this node and its peers report
   * @param isInLocalDataCentre tests whether a node is in this data centre
   */
  ServerStateExchange(
      PeerTransport transport, ServerLoadTracker loads, Predicate<String> isInLocalDataCentre) {
    this.transport = transport;
    this.loads = loads;
    this.isInLocalDataCentre = isInLocalDataCentre;
  }

  /** Returns the known state of every configured server, by name. */
  Map<String, ServerView> views() {
    Map<String, ServerView> configured = new HashMap<>(views);
    configured.keySet().retainAll(configuredServers);
    return configured;
  }

  /** Returns the known state of a server. */
  Optional<ServerView> view(String server) {
    return Optional.ofNullable(views.get(server));
  }

  /** Stores this node's new view of a server and sends it to every peer. */
  void onOwnChange(OwnedServer server, long epoch) {
    ServerView view = server.view(epoch);
    views.put(view.server(), view);
    loads.recordLoad(view.server(), server.report().running() + server.report().queued());
    broadcast(stateFrame(server, view), node -> true);
  }

  /** Applies the states that a peer sent; returns whether one replaced an older view. */
  boolean onPeerStates(ServerStates message) {
    boolean changed = false;
    for (ServerState state : message.getStatesList()) {
      loads.recordLoad(state.getServer(), state.getRunning() + state.getQueued());
      if (!state.getLoadOnly()) {
        changed |= putIfNewer(toView(state));
      }
    }
    return changed;
  }

  /**
   * Sends the loads of the owned servers, except those that are 0 and were 0 before.
   *
   * @param owned the servers that this node owns
   * @param allDataCentres whether all nodes receive the loads, not only those of this data centre
   */
  void broadcastLoads(Collection<OwnedServer> owned, boolean allDataCentres) {
    ServerStates.Builder message = ServerStates.newBuilder();
    for (OwnedServer server : owned) {
      int load = server.report().running() + server.report().queued();
      boolean changed = loads.lastSample(server.record().name()).load() != load;
      loads.recordLoad(server.record().name(), load);
      if (changed || load > 0) {
        message.addStates(loadState(server));
      }
    }
    if (message.getStatesCount() > 0) {
      PeerFrame.Builder frame = PeerFrame.newBuilder().setServerStates(message);
      broadcast(frame, node -> allDataCentres || isInLocalDataCentre.test(node));
    }
  }

  /** Sends the state of every owned server to the peers that have connected since the last call. */
  void sendStatesToNewPeers(Collection<OwnedServer> owned) {
    Set<String> connected = transport.connectedNodes();
    informedPeers.retainAll(connected);
    for (String node : connected) {
      if (informedPeers.add(node)) {
        owned.forEach(
            server -> transport.send(node, stateFrame(server, views.get(server.record().name()))));
      }
    }
  }

  /**
   * Sets the configured servers and removes the views of those that no longer are. A view of a
   * server that is not configured yet stays, since its owner may have read newer records than this
   * node and sends a state only when it changes.
   */
  void setConfigured(Collection<BackendServerRecord> configured) {
    Set<String> names = new HashSet<>();
    configured.forEach(server -> names.add(server.name()));
    views.keySet().removeIf(name -> configuredServers.contains(name) && !names.contains(name));
    configuredServers = names;
  }

  private boolean putIfNewer(ServerView view) {
    ServerView current = views.getOrDefault(view.server(), ServerView.unknown(view.server()));
    if (!current.isOlderThan(view)) {
      return false;
    }
    views.put(view.server(), view);
    return true;
  }

  private void broadcast(PeerFrame.Builder frame, Predicate<String> recipients) {
    for (String node : transport.connectedNodes()) {
      if (recipients.test(node)) {
        transport.send(node, frame.clone());
      }
    }
  }

  private static PeerFrame.Builder stateFrame(OwnedServer server, ServerView published) {
    ServerView view = published == null ? ServerView.unknown(server.record().name()) : published;
    ServerState.Builder state =
        loadState(server).toBuilder()
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

  private static ServerState loadState(OwnedServer server) {
    return ServerState.newBuilder()
        .setServer(server.record().name())
        .setRunning(server.report().running())
        .setQueued(server.report().queued())
        .setLoadOnly(true)
        .build();
  }

  private static ServerView toView(ServerState state) {
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
