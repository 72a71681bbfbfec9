package io.nutmegseam.node.gateway;

import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.ServerEntry;
import java.time.InstantSource;

/**
 * The log lines of one request.
 *
 * @param events the log
 * @param metrics counts repeats
 * @param clock monotonic clock
 * @param id id of the request
 * @param arrivedMillis monotonic time of its arrival
 */
record RequestLog(
    EventSink events, GatewayMetrics metrics, InstantSource clock, String id, long arrivedMillis) {
  /** Returns the log of a request. */
  static RequestLog of(TrafficContext context, String id, long arrivedMillis) {
    return new RequestLog(context.events(), context.metrics(), context.clock(), id, arrivedMillis);
  }

  /** Returns how long ago the request arrived, in milliseconds. */
  long ageMillis() {
    return clock.millis() - arrivedMillis;
  }

  /** Notes that the request goes to a server. */
  void dispatched(RequestPlan plan, ServerEntry server) {
    record(EventKind.REQUEST_DISPATCHED, plan.what() + ", server " + server.incarnation());
  }

  /** Notes a whole answer. */
  void answered(ServerEntry server, int offers) {
    record(
        EventKind.REQUEST_ANSWERED, "server %s, offers %d".formatted(server.incarnation(), offers));
  }

  /** Notes that the request is sent once more. */
  void retried(String cause, String reason) {
    metrics.onRetried(cause);
    record(EventKind.REQUEST_RETRIED, cause + ", " + reason);
  }

  /** Notes that the caller has left. */
  void cancelled() {
    record(EventKind.REQUEST_CANCELLED, "the caller left");
  }

  /** Notes an answer that is cut after its beginning. */
  void cut(RequestPlan plan, String reason) {
    record(EventKind.REQUEST_REFUSED, "answer cut: %s, %s".formatted(reason, plan.what()));
  }

  /** Notes an error that the caller gets. */
  void refused(RequestException error) {
    record(EventKind.REQUEST_REFUSED, error.kind().wireName() + ": " + error.getMessage());
  }

  private void record(EventKind kind, String detail) {
    events.record(kind, id, "after %d ms: %s".formatted(ageMillis(), detail));
  }
}
