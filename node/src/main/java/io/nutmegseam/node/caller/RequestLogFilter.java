package io.nutmegseam.node.caller;

import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.node.metrics.NodeMetrics;
import java.time.Clock;

/** Logs the start and the response of every request, and counts responses and errors in metrics. */
public final class RequestLogFilter implements Filter {
  private final EventSink events;
  private final NodeMetrics metrics;
  private final Clock monotonic;

  /**
   * Creates the filter.
   *
   * @param events event log
   * @param metrics the node's metrics
   * @param monotonic monotonic clock
   */
  public RequestLogFilter(EventSink events, NodeMetrics metrics, Clock monotonic) {
    this.events = events;
    this.metrics = metrics;
    this.monotonic = monotonic;
  }

  @Override
  public SentResponse apply(CallerRequest request, ResponseSink sink, Next next)
      throws RequestException {
    long startedMillis = monotonic.millis();
    events.record(EventKind.REQUEST_ACCEPTED, request.id(), request.kind() + " " + request.name());
    try {
      SentResponse response = next.proceed(request, sink);
      long durationMillis = monotonic.millis() - startedMillis;
      metrics.recordResponse(
          request.interactive(), durationMillis, monotonic.millis() > request.deadlineMillis());
      events.record(
          EventKind.REQUEST_ANSWERED,
          request.id(),
          response.server() + " in " + durationMillis + " ms");
      return response;
    } catch (RequestException e) {
      metrics.recordError(e.kind());
      throw e;
    }
  }
}
