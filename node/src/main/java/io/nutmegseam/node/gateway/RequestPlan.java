package io.nutmegseam.node.gateway;

import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.gateway.ServiceSpec;
import java.util.Optional;

/**
 * Where a request goes, and how long it may take.
 *
 * @param route its route
 * @param service the service that takes it
 * @param ref its model; empty for a plain service
 * @param affinity the parts of its prompt that other requests share; empty if there are none
 * @param targetMillis monotonic time until which an answer is in time
 * @param waitUntilMillis monotonic time until which a server can still begin to answer
 * @param deadlineMillis monotonic time of the deadline
 */
record RequestPlan(
    Route route,
    String service,
    Optional<ModelRef> ref,
    String affinity,
    long targetMillis,
    long waitUntilMillis,
    long deadlineMillis) {
  /** Reading a shorter prompt again takes about as long as one step of a batch. */
  private static final long MIN_SHARED_TOKENS = 100;

  private static final int MAX_DIGITS = 10;

  /** Least time for a server to begin its answer. */
  private static final long SERVICE_MILLIS = 100;

  /** When a caller should come back to a node that has just started, in milliseconds. */
  private static final long STARTED_RETRY_AFTER_MILLIS = 1_000;

  /**
   * Routes a request.
   *
   * @param request the request
   * @param board the configuration in force
   * @param names names of headers
   * @param draw chooses among the services of the route; from 0 (inclusive) to 1 (exclusive)
   * @throws RequestException if it cannot be routed
   */
  static RequestPlan of(
      InboundRequest request, GatewayBoard board, GatewayHeaders names, double draw)
      throws RequestException {
    GatewayConfig config =
        board.config().orElseThrow(() -> GatewayErrors.notReady(STARTED_RETRY_AFTER_MILLIS));
    Route route =
        config
            .route(request.host(), request.path())
            .orElseThrow(() -> GatewayErrors.noRoute(request, config.version()));
    String service = route.chooseService(draw);
    long deadlineMillis = request.arrivedMillis() + timeLeftMillis(request, names, route);
    long silenceMillis = request.arrivedMillis() + route.callerIdleTimeoutMillis();
    return new RequestPlan(
        route,
        service,
        ref(request, names, config, service),
        affinity(request, names),
        request.arrivedMillis() + route.targetLatencyMillis(),
        Math.min(deadlineMillis, silenceMillis) - SERVICE_MILLIS,
        deadlineMillis);
  }

  /** Returns what the request waits for while no server holds its model. */
  WaitingRoom.Key key() {
    return new WaitingRoom.Key(service, ref.orElseThrow());
  }

  /** Returns the plan in words. */
  String what() {
    return "route %s, service %s%s"
        .formatted(route.name(), service, ref.map(r -> ", model " + r).orElse(""));
  }

  private static long timeLeftMillis(InboundRequest request, GatewayHeaders names, Route route)
      throws RequestException {
    String text = request.headers().get(names.deadlineMillis());
    if (text == null) {
      return route.timeoutMillis();
    }
    try {
      long given = Long.parseLong(text.trim());
      if (given >= 0) {
        return Math.min(given, route.timeoutMillis());
      }
    } catch (NumberFormatException e) {
      // The error below quotes the value.
    }
    throw GatewayErrors.badHeader(names.deadlineMillis(), text);
  }

  private static Optional<ModelRef> ref(
      InboundRequest request, GatewayHeaders names, GatewayConfig config, String service) {
    boolean hasEngine = config.service(service).flatMap(ServiceSpec::engine).isPresent();
    String model = request.headers().get(names.model(), "");
    return hasEngine && !model.isEmpty() ? Optional.of(ModelRef.parse(model)) : Optional.empty();
  }

  /** Returns the shared parts of the prompt, if it is worth it to read them at one server. */
  private static String affinity(InboundRequest request, GatewayHeaders names) {
    String parts = request.headers().get(names.prompt(), "");
    int last = parts.lastIndexOf(',');
    String shared = last < 0 ? "" : parts.substring(0, last);
    return sharedTokens(shared) < MIN_SHARED_TOKENS ? "" : shared;
  }

  /** Adds up parts that are written as id and number of tokens; others count for nothing. */
  private static long sharedTokens(String parts) {
    long tokens = 0;
    for (String part : parts.split(",", -1)) {
      String number = part.substring(part.indexOf(':') + 1).trim();
      boolean readable = !number.isEmpty() && number.length() < MAX_DIGITS;
      if (readable && number.chars().allMatch(Character::isDigit)) {
        tokens += Long.parseLong(number);
      }
    }
    return tokens;
  }
}
