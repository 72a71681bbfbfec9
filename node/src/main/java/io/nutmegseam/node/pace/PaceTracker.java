package io.nutmegseam.node.pace;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.pace.Candidate;
import io.nutmegseam.core.pace.FirstEventRule;
import io.nutmegseam.core.pace.Pace;
import io.nutmegseam.core.pace.PaceReports;
import io.nutmegseam.core.pace.PaceTable;
import io.nutmegseam.core.pace.PromptBacklog;
import io.nutmegseam.core.pace.PromptRequest;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ObjLongConsumer;

/** What this node knows of the speed of servers. Confined to the traffic thread. */
public final class PaceTracker {
  /** A log line of a long prompt is written at most once in this time. */
  private static final long LOG_INTERVAL_MILLIS = 1_000;

  /** Shared prompt parts whose preferred server is remembered until their requests are sent. */
  private static final int MAX_PREFERRED = 1_024;

  /** Weight of one request against the earlier ones in means by service and by route. */
  private static final double MEAN_STEP = 0.05;

  /** Assumed time for which a request uses a slot, until requests of the service have ended. */
  private static final double ASSUMED_HOLD_MILLIS = 1_000;

  /** Assumed size of a response, until responses of the route have ended. */
  private static final double ASSUMED_RESPONSE_BYTES = 4_096;

  private final InstantSource clock;
  private final InstantSource wallClock;
  private final FirstEventRule rule;
  private final ObjLongConsumer<String> firstEventMetric;
  private final RemoteBytes remoteBytes;
  private final EventSink events;
  private final PaceReports reports = new PaceReports();
  private final PaceTable paces = new PaceTable(reports);
  private final PromptBacklog backlog = new PromptBacklog();
  private final RouteLabels labels = new RouteLabels();
  private final Map<String, Double> holdMillisByService = new HashMap<>();
  private final Map<String, Double> responseBytesByRoute = new HashMap<>();
  private final Map<String, String> preferredByPrompt =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
          return size() > MAX_PREFERRED;
        }
      };
  private GatewayConfig targetsOf;
  private Map<String, Long> shortestTargetByService = Map.of();
  private long loggedMillis = Long.MIN_VALUE / 2;
  private int unloggedCount;

  /**
   * Creates a tracker that has measured nothing.
   *
   * @param clock monotonic clock
   * @param wallClock time of day, by which pauses of the process are noticed
   * @param longPromptSpread whether a server gets at most one long prompt at a time while others
   *     are free
   * @param firstEventMetric receives the label of a route and the time from the arrival of a
   *     request to the first event of its response, in milliseconds
   * @param remoteBytes counts the bytes exchanged with servers in other data centres
   * @param events event log
   */
  public PaceTracker(
      InstantSource clock,
      InstantSource wallClock,
      boolean longPromptSpread,
      ObjLongConsumer<String> firstEventMetric,
      RemoteBytes remoteBytes,
      EventSink events) {
    this.clock = clock;
    this.wallClock = wallClock;
    this.rule = new FirstEventRule(longPromptSpread);
    this.firstEventMetric = firstEventMetric;
    this.remoteBytes = remoteBytes;
    this.events = events;
  }

  /** Records how much longer than usual work takes at a server, in percent, as it says. */
  public void onFactor(String server, int percent) {
    paces.onFactor(server, percent / 100.0, clock.millis());
  }

  /** Sets the ratios to their services that all nodes together have measured of servers. */
  public void onShared(Map<String, Double> ratioByServer) {
    paces.onShared(ratioByServer, clock.millis());
  }

  /** Returns what this node has measured and not reported yet. */
  public PaceReports reports() {
    return reports;
  }

  /** Returns the shortest target of the streaming routes that lead to a service. */
  public long shortestTargetMillis(GatewayConfig config, String service) {
    if (targetsOf != config) {
      Map<String, Long> targets = new HashMap<>();
      for (Route route : config.routes()) {
        if (route.kind() == RequestKind.STREAMING) {
          route
              .shares()
              .forEach(s -> targets.merge(s.service(), route.targetLatencyMillis(), Math::min));
        }
      }
      targetsOf = config;
      shortestTargetByService = targets;
    }
    return shortestTargetByService.getOrDefault(service, Long.MAX_VALUE);
  }

  /** Returns the usual size of a response of a route, in bytes. */
  public long responseBytes(String route) {
    return responseBytesByRoute.getOrDefault(route, ASSUMED_RESPONSE_BYTES).longValue();
  }

  /**
   * Creates the measurement of a request that is about to be sent to a server.
   *
   * @param server the server
   * @param route the route of the request
   * @param arrivedMillis monotonic time of its arrival
   * @param promptKey its model and the shared part of its prompt
   * @param prompt its prompt; empty if its size is unknown
   * @param slotFree whether the server probably has a free slot
   */
  public FirstEventTimer timer(
      ServerEntry server,
      Route route,
      long arrivedMillis,
      String promptKey,
      Optional<PromptRequest> prompt,
      boolean slotFree) {
    String id = server.incarnation().id();
    boolean cached = id.equals(preferredByPrompt.get(promptKey));
    long tokens = prompt.map(p -> p.tokensToProcess(cached)).orElse(0L);
    boolean isLong =
        prompt.isPresent()
            && paces
                .pace(server.service(), id, clock.millis())
                .map(pace -> isLong(pace, tokens, prompt.get()))
                .orElse(false);
    return new FirstEventTimer(
        this,
        new FirstEventTimer.Subject(
            server,
            route.name(),
            route.kind() == RequestKind.STREAMING,
            arrivedMillis,
            tokens,
            backlog.tokens(id),
            isLong,
            slotFree && prompt.isPresent()));
  }

  private static boolean isLong(Pace pace, long tokens, PromptRequest request) {
    return FirstEventRule.isLong(pace.millisPerToken() * tokens, request.shortestTargetMillis());
  }

  /** Returns the counter of the bytes exchanged with servers in other data centres. */
  public RemoteBytes remoteBytes() {
    return remoteBytes;
  }

  FirstEventRule rule() {
    return rule;
  }

  PromptBacklog backlog() {
    return backlog;
  }

  Optional<Pace> pace(ServerEntry server) {
    return paces.pace(server.service(), server.incarnation().id(), clock.millis());
  }

  double holdMillis(String service) {
    return holdMillisByService.getOrDefault(service, ASSUMED_HOLD_MILLIS);
  }

  /** Remembers which server probably caches the shared part of a prompt. */
  void setPreferred(String promptKey, String server) {
    preferredByPrompt.put(promptKey, server);
  }

  PaceTable.Instants now() {
    return new PaceTable.Instants(clock.millis(), wallClock.millis());
  }

  void onFirstEvent(FirstEventTimer.Subject subject, PaceTable.Instants sent) {
    PaceTable.Instants now = now();
    if (subject.streaming()) {
      firstEventMetric.accept(
          labels.label(subject.route()), now.monotonicMillis() - subject.arrivedMillis());
    }
    if (subject.measured()) {
      paces.onFirstEvent(
          subject.server().service(),
          subject.server().incarnation().id(),
          (double) (subject.tokens() + subject.tokensAhead()),
          sent,
          now);
    }
  }

  void onEnded(FirstEventTimer.Subject subject, long durationMillis, long responseBytes) {
    if (subject.streaming()) {
      addToMean(
          holdMillisByService,
          subject.server().service(),
          (double) durationMillis,
          ASSUMED_HOLD_MILLIS);
      addToMean(
          responseBytesByRoute, subject.route(), (double) responseBytes, ASSUMED_RESPONSE_BYTES);
    }
  }

  private static void addToMean(Map<String, Double> means, String key, double value, double first) {
    double before = means.getOrDefault(key, first);
    means.put(key, before + MEAN_STEP * (value - before));
  }

  /** Logs where a long prompt goes, at most once in an interval. */
  void logLongPrompt(FirstEventRule.Choice choice, PromptRequest request, int candidates) {
    long nowMillis = clock.millis();
    if (nowMillis - loggedMillis < LOG_INTERVAL_MILLIS) {
      unloggedCount++;
      return;
    }
    Candidate chosen = choice.candidate();
    events.record(
        EventKind.LONG_PROMPT_SENT,
        chosen.server(),
        ("%d tokens, %d of them shared%s, %d tokens ahead, expected %.0f ms of %d ms left,"
                + " base %.0f ms, %.4f ms per token, ratio %.2f, reported factor %.2f,"
                + " %d of %d servers left out for a long prompt, %d lines not written")
            .formatted(
                request.promptTokens(),
                request.sharedTokens(),
                chosen.cached() ? " and cached" : "",
                chosen.tokensAhead(),
                choice.expectedMillis(),
                request.leftMillis(),
                chosen.pace().baseMillis(),
                chosen.pace().millisPerToken(),
                chosen.pace().ratio(),
                chosen.pace().factor(),
                choice.avoided(),
                candidates,
                unloggedCount));
    loggedMillis = nowMillis;
    unloggedCount = 0;
  }
}
