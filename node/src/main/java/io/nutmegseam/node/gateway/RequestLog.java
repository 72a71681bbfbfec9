package io.nutmegseam.node.gateway;

import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.ServerEntry;
import java.time.InstantSource;

/**
 * Logs the events of one request.
 *
 * @param events event log
 * @param metrics counts retries
 * @param clock monotonic clock
 * @param id id of the request
 * @param arrivedMillis monotonic time at which the request arrived
 */
record RequestLog(
    EventSink events, GatewayMetrics metrics, InstantSource clock, String id, long arrivedMillis) {
  /** Creates the log of a request. */
  static RequestLog of(TrafficContext context, String id, long arrivedMillis) {
    return new RequestLog(context.events(), context.metrics(), context.clock(), id, arrivedMillis);
  }

  /** Returns how long ago the request arrived, in milliseconds. */
  long ageMillis() {
    return clock.millis() - arrivedMillis;
  }

  /** Logs that the request is sent to a server. */
  void onDispatched(RequestPlan plan, ServerEntry server, RequestFingerprints fingerprints) {
    record(
        EventKind.REQUEST_DISPATCHED,
        "%s, %s, software %s, %s"
            .formatted(
                plan.description(),
                PeerTargets.isPeer(server)
                    ? "node " + server.incarnation().id()
                    : "server " + server.incarnation(),
                server.softwareVersion(),
                fingerprints));
  }

  /** Logs that the request resumes a stream, and what is known of its origin. */
  void onResumes(StreamResumption resumption, StreamOrigins.Finding finding) {
    metrics.onStreamResumed(finding.origin().isPresent());
    record(
        EventKind.REQUEST_RESUMES,
        "stream of request \"%s\" after event \"%s\", origin %s by %s"
            .formatted(
                resumption.firstRequest(),
                resumption.lastEventId(),
                finding
                    .origin()
                    .map(origin -> origin.service() + " " + origin.softwareVersion())
                    .orElse("unknown"),
                finding.source()));
  }

  /** Logs a complete response. */
  void onCompleted(ServerEntry server, int dispatches, String received) {
    record(
        EventKind.REQUEST_ANSWERED,
        "server %s, dispatches %d, %s".formatted(server.incarnation(), dispatches, received));
  }

  /** Logs and counts a retry of the request. */
  void onRetried(String cause, String reason) {
    metrics.onRetried(cause);
    record(EventKind.REQUEST_RETRIED, cause + ", " + reason);
  }

  /** Logs that the caller has closed its connection. */
  void onCancelled() {
    record(EventKind.REQUEST_CANCELLED, "the caller closed the connection");
  }

  /** Logs a response that is aborted after its head was forwarded. */
  void onTruncated(RequestPlan plan, String reason) {
    record(
        EventKind.REQUEST_REFUSED,
        "response aborted: %s, %s".formatted(reason, plan.description()));
  }

  /** Logs an error that is sent to the caller. */
  void onRefused(RequestException error) {
    record(EventKind.REQUEST_REFUSED, error.kind().wireName() + ": " + error.getMessage());
  }

  private void record(EventKind kind, String detail) {
    events.record(kind, id, "after %d ms: %s".formatted(ageMillis(), detail));
  }
}
