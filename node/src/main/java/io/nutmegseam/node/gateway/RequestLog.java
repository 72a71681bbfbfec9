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
 * @param relay tells how much of the response has been received and forwarded
 */
record RequestLog(
    EventSink events,
    GatewayMetrics metrics,
    InstantSource clock,
    String id,
    long arrivedMillis,
    ResponseRelay relay) {
  /** Creates the log of a request. */
  static RequestLog of(TrafficContext context, String id, long arrivedMillis, ResponseRelay relay) {
    return new RequestLog(
        context.events(), context.metrics(), context.clock(), id, arrivedMillis, relay);
  }

  /** Returns how long ago the request arrived, in milliseconds. */
  long ageMillis() {
    return clock.millis() - arrivedMillis;
  }

  /**
   * Logs that the request is sent to a server.
   *
   * @param plan routing decision for the request
   * @param attempt the attempt, which has a connection
   * @param history the attempts, with this one
   * @param fingerprints fingerprints of the request
   */
  void onDispatched(
      RequestPlan plan, Attempt attempt, AttemptHistory history, RequestFingerprints fingerprints) {
    ServerEntry server = attempt.server();
    record(
        EventKind.REQUEST_DISPATCHED,
        "%s, %s, software %s, dispatch %d, earlier runs %d of %d%s, %s, %s"
            .formatted(
                plan.description(),
                PeerTargets.isPeer(server)
                    ? "node " + server.incarnation().id()
                    : "server " + server.incarnation(),
                server.softwareVersion(),
                history.dispatches(),
                history.runs(),
                plan.route().maxAttempts(),
                relay.lastEventId().map(last -> " after event \"" + last + "\"").orElse(""),
                attempt.connectionText(),
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

  /**
   * Logs a complete response.
   *
   * @param server the server whose response ended
   * @param dispatches how often the request was sent
   * @param end how the response ended
   */
  void onCompleted(ServerEntry server, int dispatches, String end) {
    record(
        EventKind.REQUEST_ANSWERED,
        "server %s, dispatches %d, %s%s"
            .formatted(server.incarnation(), dispatches, relay.receivedText(), end));
  }

  /** Logs and counts a retry of the request. */
  void onRetried(String cause, String reason) {
    metrics.onRetried(cause);
    record(EventKind.REQUEST_RETRIED, "%s, %s, %s".formatted(cause, reason, relay.receivedText()));
  }

  /** Logs that the caller has closed its connection. */
  void onCancelled() {
    record(
        EventKind.REQUEST_CANCELLED, "the caller closed the connection, " + relay.receivedText());
  }

  /** Logs a response that is aborted after its head was forwarded. */
  void onTruncated(RequestPlan plan, String reason) {
    record(
        EventKind.REQUEST_REFUSED,
        "response aborted: %s, %s, %s".formatted(reason, plan.description(), relay.receivedText()));
  }

  /** Logs an error that is sent to the caller. */
  void onRefused(RequestException error) {
    record(EventKind.REQUEST_REFUSED, error.kind().wireName() + ": " + error.getMessage());
  }

  private void record(EventKind kind, String detail) {
    events.record(kind, id, "after %d ms: %s".formatted(ageMillis(), detail));
  }
}
