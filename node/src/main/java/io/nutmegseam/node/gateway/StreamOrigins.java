package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.fleet.StreamOrigin;
import io.nutmegseam.node.control.TrafficTimer;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.StreamOriginAnswer;
import io.nutmegseam.node.peer.generated.StreamOriginAsk;
import io.nutmegseam.node.peer.generated.StreamOriginGroup;
import io.nutmegseam.node.peer.generated.StreamOriginNews;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

/**
 * Knows at which software version streams began, so that they go on at no other one when a caller
 * resumes them at any node. The node at which a stream begins sends its origin to a few other
 * nodes, unless only one was possible; a node that does not know the origin of a stream asks them.
 * Confined to the traffic thread.
 */
final class StreamOrigins {
  /** Time for which new origins are collected into one message. */
  private static final long SHARE_DELAY_MILLIS = 50;

  /** Interval at which origins that need not be sent yet are looked at again. */
  private static final long UNSHARED_CHECK_MILLIS = 500;

  /** Number of nodes of the data centre to which an origin is sent. */
  private static final int LOCAL_COPIES = 3;

  /** Longest wait for the answers of other nodes. */
  private static final long ASK_TIMEOUT_MILLIS = 150;

  /** Other nodes are asked once more after this time, since an origin may be on its way. */
  private static final long ASK_AGAIN_MILLIS = 70;

  private static final int MAX_ID_LENGTH = 128;
  private static final int MAX_UNSHARED = 10_000;
  private static final int MAX_LOOKUPS = 1_000;

  private final InstantSource clock;
  private final PossibleOrigins possible;
  private final PeerTransport peers;
  private final TrafficTimer timer;
  private final StreamOriginTable table;
  private final Deque<Unshared> unshared = new ArrayDeque<>();
  private final Map<Long, OriginLookup> lookupById = new HashMap<>();
  private Optional<StoredOrigins> store = Optional.empty();
  private Keepers keepers = new Keepers(List.of(), List.of());
  private boolean shareScheduled;
  private boolean checkScheduled;

  /** Begins anywhere, since answers to an earlier process of this node may still arrive. */
  private long lastLookupId = ThreadLocalRandom.current().nextLong();

  /**
   * Nodes that keep the origins of this node's streams.
   *
   * @param local nodes of the data centre, in order of preference; these are asked as well
   * @param remote nodes of other data centres
   */
  record Keepers(List<String> local, List<String> remote) {}

  /**
   * What is known of the origin of a stream.
   *
   * @param origin the origin; empty if it is not known, or not certain
   * @param source what it is known from, for log lines
   */
  record Finding(Optional<StreamOrigin> origin, String source) {}

  private record Unshared(String request, StreamOrigin origin, long expiresMillis) {}

  /**
   * A stream whose origin is looked for.
   *
   * @param request id of the request that brought the first event; empty if it is not known
   * @param service service to which the request that resumes the stream is routed
   * @param maxAgeMillis longest time since the stream began, in milliseconds
   */
  record Query(String request, String service, long maxAgeMillis) {}

  /**
   * Creates the component without known origins.
   *
   * @param clock monotonic clock
   * @param state where the routes led, and the versions that the servers had
   * @param peers sends frames to other nodes
   * @param timer runs delayed tasks on the traffic thread
   */
  StreamOrigins(InstantSource clock, GatewayState state, PeerTransport peers, TrafficTimer timer) {
    this.clock = clock;
    this.possible = new PossibleOrigins(clock, state);
    this.peers = peers;
    this.timer = timer;
    this.table = new StreamOriginTable(clock);
  }

  /** Keeps origins in the store as well. */
  void setStore(StoredOrigins next) {
    store = Optional.of(next);
  }

  /** Sets the number of nodes. */
  void setNodeCount(int count) {
    store.ifPresent(kept -> kept.setNodeCount(count));
  }

  /** Sets the nodes that keep the origins of this node's streams. */
  void setKeepers(Keepers next) {
    keepers = next;
  }

  /** Records the origin of a stream that begins or goes on at a server, if it can be resumed. */
  void onBegun(String firstRequest, RequestPlan plan, ServerEntry server) {
    if (plan.route().hasResumableStreams()) {
      onBegun(firstRequest, new StreamOrigin(plan.service(), server.softwareVersion()));
    }
  }

  /** Records the origin of a stream that begins or goes on at this node. */
  void onBegun(String request, StreamOrigin origin) {
    if (request.isEmpty() || request.length() > MAX_ID_LENGTH) {
      return;
    }
    long retentionMillis = possible.retentionMillis();
    table.put(request, origin, retentionMillis);
    if (unshared.size() >= MAX_UNSHARED) {
      unshared.pollFirst();
    }
    unshared.addLast(new Unshared(request, origin, clock.millis() + retentionMillis));
    if (!shareScheduled) {
      shareScheduled = true;
      timer.schedule(
          SHARE_DELAY_MILLIS,
          () -> {
            shareScheduled = false;
            share();
          });
    }
  }

  /**
   * Finds the origin of a stream.
   *
   * @param query the stream
   * @param callback receives the origin, at once or within a fraction of a second
   */
  void find(Query query, Consumer<Finding> callback) {
    Optional<StreamOrigin> own = table.get(query.request());
    if (own.isPresent()) {
      callback.accept(new Finding(own, "this node"));
      return;
    }
    OriginLookup lookup = new OriginLookup(query, callback);
    lookup.candidates.addAll(possible.used(query.service(), query.maxAgeMillis()));
    lookup.covered = possible.covers(query.maxAgeMillis());
    lookup.current = possible.isCurrent();
    if (lookupById.size() >= MAX_LOOKUPS) {
      lookup.finish();
      return;
    }
    long id = ++lastLookupId;
    lookupById.put(id, lookup);
    timer.schedule(ASK_TIMEOUT_MILLIS, () -> finish(id));
    ask(id, lookup, keepers.local());
    if (lookup.awaited.isEmpty()) {
      askAgain(id);
    }
  }

  /** Handles a message of another node about origins. */
  void onFrame(String node, PeerFrame frame) {
    if (frame.hasStreamOriginNews()) {
      onNews(frame.getStreamOriginNews());
    } else if (frame.hasStreamOriginAsk()) {
      onAsk(node, frame.getStreamOriginAsk());
    } else if (frame.hasStreamOriginAnswer()) {
      onAnswer(node, frame.getStreamOriginAnswer());
    }
  }

  /** Returns whether a frame is a message about origins. */
  static boolean accepts(PeerFrame frame) {
    return frame.hasStreamOriginNews()
        || frame.hasStreamOriginAsk()
        || frame.hasStreamOriginAnswer();
  }

  /**
   * Sends the origins that are not certain. The others wait: another version may come into use, or
   * a route be moved, while their streams last.
   */
  private void share() {
    long nowMillis = clock.millis();
    Map<StreamOrigin, StreamOriginGroup.Builder> groups = new LinkedHashMap<>();
    Map<String, Boolean> certainByService = new HashMap<>();
    unshared.removeIf(
        entry -> {
          boolean certain =
              certainByService.computeIfAbsent(entry.origin().service(), possible::isSole);
          if (!certain) {
            groups
                .computeIfAbsent(entry.origin(), StreamOrigins::groupOf)
                .addRequests(entry.request());
            store.ifPresent(
                kept -> kept.keep(entry.request(), entry.origin(), entry.expiresMillis()));
          }
          return !certain || entry.expiresMillis() <= nowMillis;
        });
    if (!groups.isEmpty()) {
      send(groups.values());
    }
    if (!unshared.isEmpty() && !checkScheduled) {
      checkScheduled = true;
      timer.schedule(
          UNSHARED_CHECK_MILLIS,
          () -> {
            checkScheduled = false;
            share();
          });
    }
  }

  private void send(Collection<StreamOriginGroup.Builder> groups) {
    StreamOriginNews.Builder news = StreamOriginNews.newBuilder();
    groups.forEach(news::addGroups);
    Set<String> connected = peers.connectedNodes();
    keepers.local().stream()
        .filter(connected::contains)
        .limit(LOCAL_COPIES)
        .forEach(node -> peers.send(node, PeerFrame.newBuilder().setStreamOriginNews(news)));
    keepers.remote().stream()
        .filter(connected::contains)
        .forEach(node -> peers.send(node, PeerFrame.newBuilder().setStreamOriginNews(news)));
  }

  private static StreamOriginGroup.Builder groupOf(StreamOrigin origin) {
    return StreamOriginGroup.newBuilder()
        .setService(origin.service())
        .setSoftwareVersion(origin.softwareVersion());
  }

  private static StreamOrigin originOf(StreamOriginGroup group) {
    return new StreamOrigin(group.getService(), group.getSoftwareVersion());
  }

  private void onNews(StreamOriginNews news) {
    long retentionMillis = possible.retentionMillis();
    for (StreamOriginGroup group : news.getGroupsList()) {
      StreamOrigin origin = originOf(group);
      group.getRequestsList().forEach(request -> table.put(request, origin, retentionMillis));
    }
  }

  private void ask(long id, OriginLookup lookup, List<String> nodes) {
    StreamOriginAsk.Builder message =
        StreamOriginAsk.newBuilder()
            .setId(id)
            .setRequest(lookup.query.request())
            .setService(lookup.query.service())
            .setMaxAgeMillis(lookup.query.maxAgeMillis());
    Set<String> connected = peers.connectedNodes();
    for (String node : nodes) {
      if (connected.contains(node)
          && peers.send(node, PeerFrame.newBuilder().setStreamOriginAsk(message))) {
        lookup.awaited.add(node);
      }
    }
  }

  private void onAsk(String node, StreamOriginAsk message) {
    StreamOriginAnswer.Builder answer = StreamOriginAnswer.newBuilder().setId(message.getId());
    Optional<StreamOrigin> origin = table.get(message.getRequest());
    if (origin.isPresent()) {
      answer.setOrigin(groupOf(origin.get()));
    } else {
      String service = message.getService();
      long maxAgeMillis = message.getMaxAgeMillis();
      possible
          .used(service, maxAgeMillis)
          .forEach(used -> answer.addVersions(OriginText.of(used, service)));
      answer.setCovered(possible.covers(maxAgeMillis)).setCurrent(possible.isCurrent());
    }
    peers.send(node, PeerFrame.newBuilder().setStreamOriginAnswer(answer));
  }

  private void onAnswer(String node, StreamOriginAnswer answer) {
    OriginLookup lookup = lookupById.get(answer.getId());
    if (lookup == null) {
      return;
    }
    if (answer.hasOrigin()) {
      lookupById.remove(answer.getId());
      StreamOrigin origin = originOf(answer.getOrigin());
      table.put(lookup.query.request(), origin, possible.retentionMillis());
      lookup.callback.accept(new Finding(Optional.of(origin), "node " + node));
      return;
    }
    answer
        .getVersionsList()
        .forEach(text -> lookup.candidates.add(OriginText.parse(text, lookup.query.service())));
    lookup.covered |= answer.getCovered();
    lookup.current |= answer.getCurrent();
    lookup.answered = true;
    lookup.awaited.remove(node);
    if (!lookup.awaited.isEmpty()) {
      return;
    }
    if (lookup.soleOrigin().isPresent() || lookup.askedAgain) {
      finish(answer.getId());
    } else {
      timer.schedule(ASK_AGAIN_MILLIS, () -> askAgain(answer.getId()));
    }
  }

  /** Asks the keepers in other data centres too, which origins may have reached instead. */
  private void askAgain(long id) {
    OriginLookup lookup = lookupById.get(id);
    if (lookup == null) {
      return;
    }
    lookup.askedAgain = true;
    ask(id, lookup, keepers.local());
    ask(id, lookup, keepers.remote());
    if (lookup.awaited.isEmpty()) {
      finish(id);
    }
  }

  /** Ends a lookup that other nodes could not answer; the store may know of nodes that are gone. */
  private void finish(long id) {
    OriginLookup lookup = lookupById.remove(id);
    if (lookup == null) {
      return;
    }
    String request = lookup.query.request();
    if (store.isEmpty() || request.isEmpty() || lookup.soleOrigin().isPresent()) {
      lookup.finish();
      return;
    }
    store.get().read(origins -> onStoredOrigins(lookup, origins));
  }

  private void onStoredOrigins(OriginLookup lookup, Map<String, StreamOrigin> origins) {
    long retentionMillis = possible.retentionMillis();
    origins.forEach((request, origin) -> table.put(request, origin, retentionMillis));
    Optional<StreamOrigin> origin = table.get(lookup.query.request());
    if (origin.isPresent()) {
      lookup.callback.accept(new Finding(origin, "the store"));
    } else {
      lookup.finish();
    }
  }

  /** Returns whether streams that are resumed at a service can have had several origins of late. */
  boolean hasSeveralOrigins(String service) {
    return possible.areSeveral(service);
  }

  /** Returns the time for which a stream may be resumed after it began, in milliseconds. */
  long retentionMillis() {
    return possible.retentionMillis();
  }
}
