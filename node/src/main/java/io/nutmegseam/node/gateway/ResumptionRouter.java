package io.nutmegseam.node.gateway;

import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.fleet.StreamOrigin;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Routes a request that resumes a stream: the stream goes on at the service and the software
 * version that began it, or not at all. Confined to the traffic thread.
 */
final class ResumptionRouter {
  /** A caller may wait for longer than the timeout of the route by this time. */
  private static final long CALLER_LIMIT_SLACK_MILLIS = 2_000;

  private final TrafficContext context;
  private final InboundRequest request;
  private final RequestLog log;

  /**
   * Where a stream goes on.
   *
   * @param plan routing decision for the request
   * @param softwareVersion version of the software that the server must have
   */
  record Target(RequestPlan plan, String softwareVersion) {}

  /**
   * Creates a router.
   *
   * @param context dependencies shared by all requests
   * @param request the request that resumes the stream
   * @param log log of the request
   */
  ResumptionRouter(TrafficContext context, InboundRequest request, RequestLog log) {
    this.context = context;
    this.request = request;
    this.log = log;
  }

  /**
   * Finds where the stream goes on.
   *
   * @param plan routing decision for a request that begins a stream
   * @param resumption what the request says of the stream
   * @param onTarget receives the target, at once or within a fraction of a second
   * @param onRefused receives the error instead if the stream cannot go on
   */
  void start(
      RequestPlan plan,
      StreamResumption resumption,
      Consumer<Target> onTarget,
      Consumer<RequestException> onRefused) {
    long maxAgeMillis;
    try {
      maxAgeMillis = maxAgeMillis(plan);
    } catch (RequestException e) {
      onRefused.accept(e);
      return;
    }
    context
        .origins()
        .find(
            new StreamOrigins.Query(resumption.firstRequest(), plan.service(), maxAgeMillis),
            finding -> {
              log.onResumes(resumption, finding);
              try {
                onTarget.accept(target(plan, resumption, finding));
              } catch (RequestException e) {
                onRefused.accept(e);
              }
            });
  }

  /**
   * Returns the longest time since the stream began, by the time that its caller has left. A caller
   * that does not say it, or waits for longer than is usual, may resume the stream at any age.
   */
  private long maxAgeMillis(RequestPlan plan) throws RequestException {
    long timeoutMillis =
        context.state().routes().longestTimeoutMillis(plan.route(), context.clock().millis());
    long longestMillis = timeoutMillis + CALLER_LIMIT_SLACK_MILLIS;
    OptionalLong leftMillis = RequestPlan.callerMillis(request.headers(), context.headers());
    return leftMillis.isPresent() && leftMillis.getAsLong() <= longestMillis
        ? longestMillis - Math.min(leftMillis.getAsLong(), plan.route().timeoutMillis())
        : Math.max(longestMillis, context.origins().retentionMillis());
  }

  private Target target(
      RequestPlan plan, StreamResumption resumption, StreamOrigins.Finding finding)
      throws RequestException {
    if (finding.origin().isEmpty()) {
      throw GatewayErrors.originUnknown(plan.description(), resumption, RetryAfter.SOON_MILLIS);
    }
    StreamOrigin origin = finding.origin().get();
    if (!plan.route().leadsTo(origin.service())) {
      throw GatewayErrors.originNotRouted(
          plan.description(), origin.service(), RetryAfter.SOON_MILLIS);
    }
    RequestPlan bound =
        plan.atService(origin.service(), request, context.state(), context.headers());
    return new Target(bound, origin.softwareVersion());
  }
}
