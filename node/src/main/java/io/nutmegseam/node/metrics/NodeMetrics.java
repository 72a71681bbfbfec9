package io.nutmegseam.node.metrics;

import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.node.control.ControlThread;
import io.nutmegseam.node.peer.PeerTraffic;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Unit;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.IntSupplier;

/** Counts what a node does. Safe for use by several threads. */
public final class NodeMetrics {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter refused;
  private final Counter late;
  private final Histogram answerSeconds;

  /** Creates the metrics of requests. */
  public NodeMetrics() {
    this.refused =
        Counter.builder()
            .name("nutmegseam_requests_refused_total")
            .help("Requests that ended with an error, by kind")
            .labelNames("kind")
            .register(registry);
    this.late =
        Counter.builder()
            .name("nutmegseam_answers_late_total")
            .help("Answers that were complete after their deadline")
            .register(registry);
    this.answerSeconds =
        Histogram.builder()
            .name("nutmegseam_answer_seconds")
            .help("Time to a whole answer, by class")
            .unit(Unit.SECONDS)
            .labelNames("class")
            .register(registry);
  }

  /**
   * Adds the metrics of the control state.
   *
   * @param thread the control thread
   * @param traffic bytes between nodes
   * @param inFlight returns the number of requests in flight
   */
  public void watch(ControlThread thread, PeerTraffic traffic, IntSupplier inFlight) {
    GaugeWithCallback.builder()
        .name("nutmegseam_requests_in_flight")
        .help("Requests in flight")
        .callback(callback -> callback.call(inFlight.getAsInt()))
        .register(registry);
    CounterWithCallback.builder()
        .name("nutmegseam_control_cpu_seconds_total")
        .help("Processor time of the control thread")
        .unit(Unit.SECONDS)
        .callback(callback -> callback.call(thread.cpuMillis() / MILLIS_PER_SECOND))
        .register(registry);
    CounterWithCallback.builder()
        .name("nutmegseam_peer_sent_bytes_total")
        .help("Bytes sent to other nodes, by message kind")
        .labelNames("message")
        .callback(c -> traffic.sent().forEach((kind, n) -> c.call((double) n.bytes(), kind.name())))
        .register(registry);
    CounterWithCallback.builder()
        .name("nutmegseam_peer_received_bytes_total")
        .help("Bytes received from other nodes, by message kind")
        .labelNames("message")
        .callback(
            c -> traffic.received().forEach((kind, n) -> c.call((double) n.bytes(), kind.name())))
        .register(registry);
  }

  /** Notes an answer. */
  public void onAnswered(boolean interactive, long tookMillis, boolean afterDeadline) {
    answerSeconds
        .labelValues(interactive ? "interactive" : "batch")
        .observe(tookMillis / MILLIS_PER_SECOND);
    if (afterDeadline) {
      late.inc();
    }
  }

  /** Notes an error. */
  public void onRefused(ErrorKind kind) {
    refused.labelValues(kind.wireName()).inc();
  }

  /** Returns the metrics in the Prometheus text format. */
  public String text() {
    try (ByteArrayOutputStream out = new ByteArrayOutputStream()) {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
      return out.toString(StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalStateException("metrics cannot be written", e);
    }
  }
}
