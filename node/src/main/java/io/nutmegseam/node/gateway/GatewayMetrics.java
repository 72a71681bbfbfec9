package io.nutmegseam.node.gateway;

import io.nutmegseam.node.connection.BodyFraming;
import io.nutmegseam.node.tenant.TenantMetrics;
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
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/** The Prometheus metrics of a gateway node. Thread-safe. */
public final class GatewayMetrics {
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double[] BUCKETS_SECONDS = {0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 20};

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter finished = counter("requests", "Requests by route and outcome", "outcome");
  private final TenantMetrics tenantRequests = new TenantMetrics(registry);
  private final Counter retried = counter("retries", "Requests sent once more", "cause");
  private final Counter responses =
      counter("responses", "Forwarded responses by how their end is marked", "framing");
  private final Counter resumptions =
      counter("stream_resumptions", "Streams that callers resume", "origin");
  private final Counter calls = counter("calls", "Calls to the platform and orders", "call");
  private final Histogram firstByte = histogram("first_byte", "Time to the head of an answer");
  private final Histogram firstEvent =
      histogram("first_event", "Time to the first event of a stream, by route", "route");
  private final Histogram modelWait =
      histogram("model_wait", "Time that a request waited for a model");
  private final Histogram storeCall = histogram("store_call", "Time of a call to the store");

  /** Counts a finished request; the plan is empty if it was refused before it had one. */
  void onEnded(Optional<RequestPlan> plan, String outcome) {
    finished.labelValues(outcome).inc();
    plan.flatMap(RequestPlan::tenant)
        .ifPresent(tenant -> tenantRequests.onEnded(tenant.name(), outcome));
  }

  /** Counts a response that was forwarded to its end. */
  void onResponseEnded(BodyFraming framing) {
    responses.labelValues(framing.label()).inc();
  }

  /** Counts a stream that a caller resumes, by whether its origin is known. */
  void onStreamResumed(boolean originKnown) {
    resumptions.labelValues(originKnown ? "known" : "unknown").inc();
  }

  /** Counts a retry of a request. */
  void onRetried(String cause) {
    retried.labelValues(cause).inc();
  }

  /** Counts a call to the platform or an order to a server, and records its duration. */
  public void onCall(String call, long durationMillis) {
    calls.labelValues(call).inc();
    storeCall.observe(durationMillis / MILLIS_PER_SECOND);
  }

  /** Records the time from the arrival of a request to the head of its response. */
  void onFirstByte(long durationMillis) {
    firstByte.observe(durationMillis / MILLIS_PER_SECOND);
  }

  /** Records the time from the arrival of a request to the first event of its response. */
  void onFirstEvent(String route, long durationMillis) {
    firstEvent.labelValues(route).observe(durationMillis / MILLIS_PER_SECOND);
  }

  /** Records the time from the arrival of a request until it stopped waiting for its model. */
  void onModelWait(long durationMillis) {
    modelWait.observe(durationMillis / MILLIS_PER_SECOND);
  }

  /**
   * Registers a gauge whose value is read at each scrape.
   *
   * @param name name without the prefix {@code nutmegseam_gateway_}
   * @param help help text
   * @param value supplies the value
   */
  public void registerGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name("nutmegseam_gateway_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Registers the gauges of waiting requests by priority, which are read at each scrape. */
  void registerWaiting(Supplier<Map<String, Double>> countByPriority) {
    GaugeWithCallback.builder()
        .name("nutmegseam_gateway_waiting_requests")
        .help("Requests that wait for a model or for capacity, by priority")
        .labelNames("priority")
        .callback(
            callback ->
                countByPriority.get().forEach((priority, count) -> callback.call(count, priority)))
        .register(registry);
  }

  /**
   * Registers a counter whose value is read at each scrape.
   *
   * @param name name without the prefix {@code nutmegseam_gateway_}
   * @param help help text
   * @param value supplies the value
   */
  public void registerCounter(String name, String help, DoubleSupplier value) {
    CounterWithCallback.builder()
        .name("nutmegseam_gateway_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Creates a counter whose label is a tenant, of which there must be few. */
  public Counter tenantCounter(String name, String help) {
    return counter(name, help, "tenant");
  }

  /**
   * Registers a counter with a label whose values are read at each scrape.
   *
   * @param name name without the prefix {@code nutmegseam_gateway_}
   * @param help help text
   * @param label name of the label
   * @param values supplies the values by value of the label
   */
  void registerCounters(
      String name, String help, String label, Supplier<Map<String, Long>> values) {
    CounterWithCallback.builder()
        .name("nutmegseam_gateway_" + name)
        .help(help)
        .labelNames(label)
        .callback(callback -> values.get().forEach((value, count) -> callback.call(count, value)))
        .register(registry);
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

  private Counter counter(String name, String help, String label) {
    return Counter.builder()
        .name("nutmegseam_gateway_" + name)
        .help(help)
        .labelNames(label)
        .register(registry);
  }

  private Histogram histogram(String name, String help, String... labels) {
    return Histogram.builder()
        .name("nutmegseam_gateway_" + name)
        .help(help)
        .labelNames(labels)
        .unit(Unit.SECONDS)
        .classicOnly()
        .classicUpperBounds(BUCKETS_SECONDS)
        .register(registry);
  }
}
