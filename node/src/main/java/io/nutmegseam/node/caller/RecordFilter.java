package io.nutmegseam.node.caller;

import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.node.metrics.NodeMetrics;
import java.time.Clock;

/** Records the beginning and the end of every request in the log and in the metrics. */
public final class RecordFilter implements Filter {
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
  public RecordFilter(EventSink events, NodeMetrics metrics, Clock monotonic) {
    this.events = events;
    this.metrics = metrics;
    this.monotonic = monotonic;
  }

  @Override
  public Answered apply(Call call, AnswerSink sink, Next next) throws RequestException {
    long startedMillis = monotonic.millis();
    events.record(EventKind.REQUEST_ACCEPTED, call.id(), call.kind() + " " + call.name());
    try {
      Answered answered = next.proceed(call);
      long tookMillis = monotonic.millis() - startedMillis;
      metrics.onAnswered(
          call.interactive(), tookMillis, monotonic.millis() > call.deadlineMillis());
      events.record(
          EventKind.REQUEST_ANSWERED, call.id(), answered.server() + " in " + tookMillis + " ms");
      return answered;
    } catch (RequestException e) {
      metrics.onRefused(e.kind());
      throw e;
    }
  }
}
