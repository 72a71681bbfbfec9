package io.nutmegseam.node.metrics;

import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.node.control.ControlThread;
import io.nutmegseam.node.peer.PeerTrafficCounter;
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

/** Collects the metrics of a node. Thread-safe. */
public final class NodeMetrics {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter refusedRequests;
  private final Counter lateResponses;
  private final Histogram responseSeconds;

  /** Creates the registry and registers the request metrics. */
  public NodeMetrics() {
    this.refusedRequests =
        Counter.builder()
            .name("nutmegseam_requests_refused_total")
            .help("Requests that ended with an error, by kind")
            .labelNames("kind")
            .register(registry);
    this.lateResponses =
        Counter.builder()
            .name("nutmegseam_answers_late_total")
            .help("Answers that were complete after their deadline")
            .register(registry);
    this.responseSeconds =
        Histogram.builder()
            .name("nutmegseam_answer_seconds")
            .help("Time to a whole answer, by class")
            .unit(Unit.SECONDS)
            .labelNames("class")
            .register(registry);
  }

  /**
   * Registers the metrics whose values are read from other components at each scrape.
   *
   * @param thread the control thread, for its processor time
   * @param traffic bytes sent to and received from other nodes
   * @param inFlight returns the number of requests in flight
   */
  public void registerControlMetrics(
      ControlThread thread, PeerTrafficCounter traffic, IntSupplier inFlight) {
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

  /** Records the duration of a complete response, and whether it missed its deadline. */
  public void recordResponse(boolean interactive, long durationMillis, boolean afterDeadline) {
    responseSeconds
        .labelValues(interactive ? "interactive" : "batch")
        .observe(durationMillis / MILLIS_PER_SECOND);
    if (afterDeadline) {
      lateResponses.inc();
    }
  }

  /** Counts a request that ended with an error. */
  public void recordError(ErrorKind kind) {
    refusedRequests.labelValues(kind.wireName()).inc();
  }

  /** Returns the metrics in the Prometheus text format. */
  public String scrape() {
    try (ByteArrayOutputStream out = new ByteArrayOutputStream()) {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
      return out.toString(StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalStateException("metrics cannot be written", e);
    }
  }
}
