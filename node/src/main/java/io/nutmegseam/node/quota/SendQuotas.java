package io.nutmegseam.node.quota;

import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.quota.SendLimiter;
import io.nutmegseam.core.quota.SendQuota;
import io.nutmegseam.core.quota.ServerLimits;
import io.nutmegseam.node.control.TrafficTimer;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.SendPermitAnswer;
import io.nutmegseam.node.peer.generated.SendPermitAsk;
import io.nutmegseam.node.peer.generated.SendReport;
import io.nutmegseam.node.peer.generated.ServerLimit;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.settings.HostPort;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

/**
 * Keeps the limits that servers name over all nodes. A node that is told a limit tells the others.
 * For each server with a limit one node grants the sends, and the others ask it before they send a
 * request. Confined to the traffic thread.
 */
public final class SendQuotas {
  /** A node that grants sends answers within this time, or the next one is asked. */
  private static final long ANSWER_TIMEOUT_MILLIS = 100;

  private static final long CONNECT_POLL_MILLIS = 10;

  /** Assumed number of nodes while the list of nodes has not been read yet. */
  private static final int ASSUMED_NODES = 12;

  private final Dependencies dependencies;
  private final InstantSource clock;
  private final PeerTransport peers;
  private final LimitSharing sharing;
  private final SendGrants grants;
  private final SendLimiter ownShare = new SendLimiter();
  private final LimiterSelector selector;
  private final Map<Long, PendingPermit> pendingById = new HashMap<>();
  private final ExhaustedQuotas exhausted;
  private final ExhaustedQuotas pauses;
  private final InFlightRequests inFlight;
  private long lastId;

  /**
   * Collaborators of the component.
   *
   * @param self name of this node
   * @param peers sends frames to other nodes
   * @param connector opens a connection to a node
   * @param clock monotonic clock
   * @param timer runs delayed tasks on the traffic thread
   * @param isListed whether a process of a server is listed
   * @param inFlight returns the number of requests that this node has in flight at a server
   * @param limitsSink receives the limits of the processes that name any, whenever they change
   * @param events the log
   */
  public record Dependencies(
      String self,
      PeerTransport peers,
      Consumer<HostPort> connector,
      InstantSource clock,
      TrafficTimer timer,
      Predicate<String> isListed,
      ToIntFunction<Incarnation> inFlight,
      Consumer<Map<String, ServerLimits>> limitsSink,
      EventSink events) {}

  /**
   * How a request may be sent.
   *
   * @param maxWaitMillis longest time for which the request can wait, in milliseconds
   * @param hasAlternative whether a server without limit can serve the request as well
   */
  public record Terms(long maxWaitMillis, boolean hasAlternative) {}

  /**
   * Creates a component that knows no limits.
   *
   * @param dependencies collaborators of the component
   */
  public SendQuotas(Dependencies dependencies) {
    this.dependencies = dependencies;
    this.clock = dependencies.clock();
    this.peers = dependencies.peers();
    this.exhausted = new ExhaustedQuotas(clock);
    this.pauses = new ExhaustedQuotas(clock);
    this.sharing =
        new LimitSharing(
            peers,
            clock,
            dependencies.timer(),
            dependencies.isListed(),
            dependencies.limitsSink(),
            dependencies.events());
    this.grants = new SendGrants(peers, sharing, clock);
    this.selector =
        new LimiterSelector(
            dependencies.self(), dependencies.peers(), dependencies.connector(), clock);
    this.inFlight =
        new InFlightRequests(
            dependencies.inFlight(),
            server -> limits(server).isBrittle(),
            server -> report(server, 0, 0, 0),
            dependencies.timer());
  }

  /** Sets the known nodes, this one included. */
  public void setNodes(List<NodeRecord> nodes) {
    selector.setNodes(nodes);
  }

  /** Returns the number of processes that name a limit. */
  public int limitedCount() {
    return sharing.limitedCount();
  }

  /** Returns the limits of a server. */
  public ServerLimits limits(Incarnation server) {
    return sharing.limits(server.toString());
  }

  /**
   * Returns the time until a request may be sent to a server, in milliseconds; 0 if nothing says
   * that it may not be sent now.
   *
   * @param server the server
   * @param hasAlternative whether a server without limit can serve the request as well
   */
  public long exhaustedMillis(Incarnation server, boolean hasAlternative) {
    long limitMillis =
        limits(server).isNone() ? 0 : exhausted.millis(server.toString(), hasAlternative);
    return Math.max(limitMillis, pauseMillis(server));
  }

  /** Returns for how long a server still asks this node for no requests, in milliseconds. */
  public long pauseMillis(Incarnation server) {
    return pauses.isEmpty() ? 0 : pauses.millis(server.toString(), false);
  }

  /** Applies that a server asks this node for no requests for a time, in milliseconds. */
  public void onPause(Incarnation server, long millis) {
    pauses.onPause(server.toString(), millis);
  }

  /**
   * Applies the limits that a server names in a response.
   *
   * @param server the server
   * @param limits its limits; none if the response names none
   * @param sentMillis monotonic time at which the request was sent
   */
  public void onResponse(Incarnation server, ServerLimits limits, long sentMillis) {
    sharing.onResponse(server.toString(), limits, sentMillis);
  }

  /**
   * Asks for the permit to send a request to a server. The outcome follows at once for a server
   * without limits, after a pause that the server has asked for, or after the answer of another
   * node.
   */
  public SendPermit acquire(ServerEntry server, Terms terms, SendPermit.Listener listener) {
    Incarnation incarnation = server.incarnation();
    if (pauseMillis(incarnation) == 0 && limits(incarnation).isNone()) {
      listener.onGranted();
      return SendPermit.DONE;
    }
    PendingPermit permit = new PendingPermit(++lastId, server, terms, listener);
    permit.ask();
    return permit;
  }

  /** Takes account of a request that is sent to a server without a permit, such as an order. */
  public void onSentWithoutPermit(ServerEntry server) {
    report(server, 1, 0, 0);
  }

  /** Takes account of the end of a request at a server. */
  public void onEnded(ServerEntry server) {
    if (limits(server.incarnation()).isBrittle()) {
      report(server, 0, 0, 0);
    }
  }

  /** Takes account of a request that a server has rejected for want of room. */
  public void onRejected(ServerEntry server) {
    if (limits(server.incarnation()).isBrittle()) {
      report(server, 0, 0, 1);
    }
  }

  private void report(ServerEntry server, int sent, int unused, int rejected) {
    String process = server.incarnation().toString();
    int count = inFlight.count(server.incarnation());
    Optional<ServerLimit> limit = sharing.message(process);
    Optional<String> granting = limit.isEmpty() ? Optional.empty() : selector.select(server).node();
    if (granting.equals(Optional.of(dependencies.self()))) {
      grants.report(
          process, new SendLimiter.Report(dependencies.self(), sent, unused, rejected, count));
    } else if (granting.isPresent()) {
      peers.send(
          granting.get(),
          PeerFrame.newBuilder()
              .setSendReport(
                  SendReport.newBuilder()
                      .setLimit(limit.get())
                      .setSent(sent)
                      .setUnused(unused)
                      .setRejected(rejected)
                      .setInFlight(count)));
    }
  }

  /** Returns whether a frame is a message about limits. */
  public static boolean accepts(PeerFrame frame) {
    return frame.hasServerLimitNews()
        || frame.hasSendPermitAsk()
        || frame.hasSendPermitAnswer()
        || frame.hasSendReport();
  }

  /** Handles a message of another node about limits. */
  public void onFrame(String node, PeerFrame frame) {
    if (frame.hasServerLimitNews()) {
      frame.getServerLimitNews().getLimitsList().forEach(limit -> sharing.onNews(node, limit));
    } else if (frame.hasSendPermitAsk()) {
      grants.onAsk(node, frame.getSendPermitAsk());
    } else if (frame.hasSendPermitAnswer()) {
      onAnswer(node, frame.getSendPermitAnswer());
    } else if (frame.hasSendReport()) {
      grants.onReport(node, frame.getSendReport());
    }
  }

  private void onAnswer(String node, SendPermitAnswer answer) {
    selector.onAnswer(node);
    PendingPermit permit = pendingById.remove(answer.getId());
    if (permit != null) {
      permit.onDecision(new SendQuota.Decision(answer.getGranted(), answer.getWaitMillis()));
    }
  }

  /** A request that waits for its permit. */
  private final class PendingPermit implements SendPermit {
    private final long id;
    private final ServerEntry server;
    private final String process;
    private final Terms terms;
    private final SendPermit.Listener listener;
    private final long latestMillis;
    private boolean reserved;
    private boolean ended;

    private PendingPermit(long id, ServerEntry server, Terms terms, SendPermit.Listener listener) {
      this.id = id;
      this.server = server;
      this.process = server.incarnation().toString();
      this.terms = terms;
      this.listener = listener;
      this.latestMillis = clock.millis() + terms.maxWaitMillis();
    }

    /** Asks the node that grants sends to the server; without one, uses this node's share. */
    private void ask() {
      if (ended) {
        return;
      }
      long pauseMillis = pauseMillis(server.incarnation());
      if (pauseMillis > 0) {
        onDenied(pauseMillis, false);
        return;
      }
      ServerLimits limits = sharing.limits(process);
      ReachableNodeSelector.Selection selection = selector.select(server);
      Optional<ServerLimit> limit = sharing.message(process);
      if (limit.isEmpty()) {
        decide(() -> SendQuota.Decision.AT_ONCE);
      } else if (selection.node().equals(Optional.of(dependencies.self()))) {
        SendLimiter.Ask ask = terms(server.slots(), selection.substitute());
        decide(() -> grants.decide(process, ask));
      } else if (selection.node().isPresent()) {
        askNode(selection, limit.get());
      } else if (selection.connecting()) {
        dependencies.timer().schedule(CONNECT_POLL_MILLIS, this::ask);
      } else {
        int nodes = selector.nodeCount() == 0 ? ASSUMED_NODES : selector.nodeCount();
        ServerLimits share =
            new ServerLimits(limits.requestsPerSecond() / nodes, limits.rejectionsPerSecond());
        SendLimiter.Ask ask = terms(server.slots() / nodes, false);
        decide(() -> ownShare.decide(process, share, ask, clock.millis()));
      }
    }

    private SendLimiter.Ask terms(int slots, boolean substitute) {
      return new SendLimiter.Ask(
          dependencies.self(),
          maxWaitMillis(),
          terms.hasAlternative(),
          inFlight.count(server.incarnation()),
          slots,
          substitute);
    }

    private long maxWaitMillis() {
      return Math.max(0, latestMillis - clock.millis());
    }

    private void decide(Supplier<SendQuota.Decision> decision) {
      inFlight.onAsked(server);
      onDecision(decision.get());
    }

    private void askNode(ReachableNodeSelector.Selection selection, ServerLimit limit) {
      String node = selection.node().orElseThrow();
      pendingById.put(id, this);
      SendPermitAsk.Builder ask =
          SendPermitAsk.newBuilder()
              .setId(id)
              .setLimit(limit)
              .setMaxWaitMillis(maxWaitMillis())
              .setHasAlternative(terms.hasAlternative())
              .setInFlight(inFlight.count(server.incarnation()))
              .setSlots(server.slots())
              .setSubstitute(selection.substitute());
      inFlight.onAsked(server);
      peers.send(node, PeerFrame.newBuilder().setSendPermitAsk(ask));
      dependencies
          .timer()
          .schedule(
              ANSWER_TIMEOUT_MILLIS,
              () -> {
                if (pendingById.remove(id, this)) {
                  inFlight.onSettled(server);
                  selector.onSilent(node);
                  ask();
                }
              });
    }

    private void onDecision(SendQuota.Decision decision) {
      if (ended && decision.granted()) {
        inFlight.onSettled(server);
        report(server, 0, 1, 0);
      } else if (ended) {
        inFlight.onDenied(server);
      } else if (!decision.granted()) {
        inFlight.onDenied(server);
        ServerLimits limits = limits(server.incarnation());
        onDenied(decision.waitMillis(), limits.isBrittle() && !limits.isRateLimited());
      } else if (decision.waitMillis() > 0) {
        reserved = true;
        dependencies.timer().schedule(decision.waitMillis(), this::grant);
      } else {
        grant();
      }
    }

    /** Asks again later, for room not later than at the end of the request's wait. */
    private void onDenied(long waitMillis, boolean forRoom) {
      long leftMillis = maxWaitMillis();
      if (waitMillis <= leftMillis || (forRoom && leftMillis > 0)) {
        dependencies.timer().schedule(Math.min(waitMillis, leftMillis), this::ask);
      } else {
        ended = true;
        exhausted.onDenied(process, terms.hasAlternative(), waitMillis);
        listener.onDenied();
      }
    }

    private void grant() {
      if (!ended) {
        ended = true;
        inFlight.onSettled(server);
        listener.onGranted();
      }
    }

    @Override
    public void cancel() {
      if (!ended && reserved) {
        inFlight.onSettled(server);
        report(server, 0, 1, 0);
      }
      ended = true;
    }
  }
}
