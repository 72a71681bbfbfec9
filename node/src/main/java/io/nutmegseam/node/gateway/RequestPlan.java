package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.nutmegseam.core.dispatch.WaitingRequest;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.gateway.ServiceSpec;
import io.nutmegseam.core.pace.PromptRequest;
import io.nutmegseam.core.routing.TokenCount;
import io.nutmegseam.core.tenant.Tenant;
import io.nutmegseam.node.tenant.ProofState;
import io.nutmegseam.node.tenant.RequestTenants;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Function;

/**
 * Routing decision for a request, with its time limits.
 *
 * @param route the matching route
 * @param service the service that handles the request
 * @param ref the requested model; empty for a service without models
 * @param affinity the parts of the prompt that other requests share; empty if they are too short
 *     for a cached prompt to matter
 * @param targetMillis monotonic time before which the response must begin to meet the target
 *     latency
 * @param waitUntilMillis monotonic time until which the request can wait for a server
 * @param deadlineMillis monotonic time of the deadline
 * @param tokens size of the request; empty if it does not say
 * @param tenant the tenant whose key the request carries; empty if it needs none
 */
record RequestPlan(
    Route route,
    String service,
    Optional<ModelRef> ref,
    String affinity,
    long targetMillis,
    long waitUntilMillis,
    long deadlineMillis,
    Optional<TokenCount> tokens,
    Optional<Tenant> tenant) {
  /** Processing a shorter shared prompt again takes about as long as one step of a batch. */
  private static final long MIN_SHARED_TOKENS = 100;

  private static final int MAX_DIGITS = 10;

  /** Non-repeatable requests use recently active connections; the server may have closed others. */
  private static final long NON_REPEATABLE_MAX_IDLE_MILLIS = 500;

  private static final long REPEATABLE_MAX_IDLE_MILLIS = 8_000;

  /** Minimum time that a server needs to begin its response. */
  private static final long MIN_RESPONSE_MILLIS = 100;

  /** Clocks of servers may run faster, and their timers may fire early, by this time at most. */
  private static final long MAX_SERVER_CLOCK_TOLERANCE_MILLIS = 20;

  /** That tolerance as a part of the time limit, so that short limits leave time to respond. */
  private static final long TIME_LIMIT_PER_TOLERANCE = 10;

  /** Retry-After for callers of a node that has just started and has no configuration yet. */
  private static final long STARTED_RETRY_AFTER_MILLIS = 1_000;

  /**
   * Routes a request by the active configuration.
   *
   * @param request the request
   * @param state published state of the node
   * @param names names of the platform's headers
   * @param serviceChoice chooses a service of the route
   * @throws RequestException if the node has no configuration, no route matches, the request needs
   *     a key and has no valid one, or the deadline header is invalid
   */
  static RequestPlan of(
      InboundRequest request,
      GatewayState state,
      GatewayHeaders names,
      Function<Route, String> serviceChoice)
      throws RequestException {
    // Read before the configuration, which is then at least as new as it is proven to be.
    ProofState proof = state.configProof();
    GatewayConfig config =
        state.config().orElseThrow(() -> GatewayErrors.notReady(STARTED_RETRY_AFTER_MILLIS));
    Route route =
        config
            .route(request.host(), request.path())
            .orElseThrow(() -> GatewayErrors.noRoute(request, config.version()));
    Optional<Tenant> tenant =
        RequestTenants.authenticate(
            new RequestTenants.Source(request.headers(), request.fromPeer(), names.tenant()),
            config,
            route,
            proof);
    String service = serviceChoice.apply(route);
    long deadlineMillis = request.arrivedMillis() + remainingMillis(request, names, route);
    long idleDeadlineMillis = request.arrivedMillis() + route.callerIdleTimeoutMillis();
    return new RequestPlan(
        route,
        service,
        ref(request, names, config, service),
        affinity(request, names),
        request.arrivedMillis() + route.targetLatencyMillis(),
        Math.min(deadlineMillis, idleDeadlineMillis) - MIN_RESPONSE_MILLIS,
        deadlineMillis,
        TokenCount.parse(request.headers().get(names.tokens(), "")),
        tenant);
  }

  /**
   * Returns this plan at another service of its route. Its time limits stay, since they are in
   * force already.
   *
   * @param other name of the service
   * @param request the request
   * @param state published state of the node
   * @param names names of the platform's headers
   */
  RequestPlan atService(
      String other, InboundRequest request, GatewayState state, GatewayHeaders names) {
    return new RequestPlan(
        route,
        other,
        state.config().flatMap(config -> ref(request, names, config, other)),
        affinity,
        targetMillis,
        waitUntilMillis,
        deadlineMillis,
        tokens,
        tenant);
  }

  /** Returns the priority of the request: that of its tenant, or else of its route. */
  int priority() {
    return tenant.map(Tenant::priority).orElse(OptionalInt.empty()).orElse(route.priority());
  }

  /** Returns what the dispatch order needs to know of the request. */
  WaitingRequest waitingRequest() {
    return new WaitingRequest(
        priority(),
        tenant.map(Tenant::name).orElse(""),
        targetMillis - route.targetLatencyMillis(),
        latestStartMillis(),
        waitUntilMillis);
  }

  /**
   * Returns this plan.
   *
   * @throws RequestException if the deadline passed while the request waited for earlier ones on
   *     its connection, or if the node is shutting down and might have to cut the request
   */
  RequestPlan requireAdmission(InboundRequest request, GatewayState state, long nowMillis)
      throws RequestException {
    if (deadlineMillis <= nowMillis) {
      throw GatewayErrors.deadlinePassed(route, nowMillis - request.arrivedMillis(), false);
    }
    if (!state.admits(nowMillis, deadlineMillis)) {
      throw GatewayErrors.stopping(description());
    }
    return this;
  }

  /**
   * Returns the prompt of a streaming request that says its size; else empty.
   *
   * @param nowMillis monotonic time
   * @param crossingBytes expected bytes of the request and its response
   * @param shortestTargetMillis shortest target of the streaming routes of the service
   */
  Optional<PromptRequest> prompt(long nowMillis, long crossingBytes, long shortestTargetMillis) {
    return route.kind() == RequestKind.STREAMING
        ? tokens.map(
            count ->
                new PromptRequest(
                    count.prompt(),
                    Math.min(count.prompt(), sharedTokens(affinity)),
                    targetMillis - nowMillis,
                    crossingBytes,
                    shortestTargetMillis))
        : Optional.empty();
  }

  /** Returns the key under which the request waits while no server has loaded its model. */
  ModelWaitQueue.Key modelKey() {
    return new ModelWaitQueue.Key(service, ref.orElseThrow());
  }

  /** Returns the monotonic time before which a server must get the request to meet its target. */
  long latestStartMillis() {
    return targetMillis - MIN_RESPONSE_MILLIS;
  }

  /** Returns the longest time that a connection for the request may have been idle. */
  long maxConnectionIdleMillis() {
    return route.isRetryable() ? REPEATABLE_MAX_IDLE_MILLIS : NON_REPEATABLE_MAX_IDLE_MILLIS;
  }

  /** Returns whether a server may have stopped its work at the deadline, which it is sent. */
  boolean mayHaveStoppedServer(long nowMillis) {
    long arrivedMillis = targetMillis - route.targetLatencyMillis();
    long toleranceMillis = (deadlineMillis - arrivedMillis) / TIME_LIMIT_PER_TOLERANCE;
    return nowMillis
        >= deadlineMillis - Math.min(MAX_SERVER_CLOCK_TOLERANCE_MILLIS, toleranceMillis);
  }

  /** Returns the route, service and model for log lines and error messages. */
  String description() {
    return "route %s, service %s%s"
        .formatted(route.name(), service, ref.map(r -> ", model " + r).orElse(""));
  }

  private static long remainingMillis(InboundRequest request, GatewayHeaders names, Route route)
      throws RequestException {
    return Math.min(
        callerMillis(request.headers(), names).orElse(Long.MAX_VALUE), route.timeoutMillis());
  }

  /**
   * Returns for how long the caller of a request waits, in milliseconds; empty if it does not say.
   *
   * @throws RequestException if the header is not a number of milliseconds
   */
  static OptionalLong callerMillis(HttpHeaders headers, GatewayHeaders names)
      throws RequestException {
    String text = headers.get(names.deadlineMillis());
    if (text == null) {
      return OptionalLong.empty();
    }
    try {
      long millis = Long.parseLong(text.trim());
      if (millis >= 0) {
        return OptionalLong.of(millis);
      }
    } catch (NumberFormatException e) {
      // The exception thrown below quotes the value.
    }
    throw GatewayErrors.badHeader(names.deadlineMillis(), text);
  }

  /** Returns the adapter that the request needs, if any. */
  Optional<ModelWaitQueue.Key> adapter() {
    return ref.filter(ModelRef::isAdapter).map(needed -> new ModelWaitQueue.Key(service, needed));
  }

  private static Optional<ModelRef> ref(
      InboundRequest request, GatewayHeaders names, GatewayConfig config, String service) {
    boolean hasEngine = config.service(service).flatMap(ServiceSpec::engine).isPresent();
    String model = request.headers().get(names.model(), "");
    return hasEngine && !model.isEmpty() ? Optional.of(ModelRef.parse(model)) : Optional.empty();
  }

  /**
   * Returns the shared parts of the prompt, which are all but the last one; empty if they have
   * fewer than {@link #MIN_SHARED_TOKENS} tokens.
   */
  private static String affinity(InboundRequest request, GatewayHeaders names) {
    String parts = request.headers().get(names.prompt(), "");
    int lastComma = parts.lastIndexOf(',');
    String shared = lastComma < 0 ? "" : parts.substring(0, lastComma);
    return sharedTokens(shared) < MIN_SHARED_TOKENS ? "" : shared;
  }

  /** Returns the sum of the tokens of parts written as {@code id:tokens}; other parts add 0. */
  private static long sharedTokens(String parts) {
    long tokens = 0;
    for (String part : parts.split(",", -1)) {
      String number = part.substring(part.indexOf(':') + 1).trim();
      boolean valid = !number.isEmpty() && number.length() < MAX_DIGITS;
      if (valid && number.chars().allMatch(Character::isDigit)) {
        tokens += Long.parseLong(number);
      }
    }
    return tokens;
  }
}
