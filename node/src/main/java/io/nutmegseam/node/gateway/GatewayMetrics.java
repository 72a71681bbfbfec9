package io.nutmegseam.node.gateway;

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
import java.util.function.DoubleSupplier;

/** Counts what the gateway does. Safe for use by several threads. */
public final class GatewayMetrics {
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double[] BUCKETS_SECONDS = {0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 20};

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter ended = counter("requests", "Requests by route and outcome", "outcome");
  private final Counter retried = counter("retries", "Requests sent once more", "cause");
  private final Counter calls = counter("calls", "Calls to the platform and orders", "call");
  private final Histogram firstByte = histogram("first_byte", "Time to the head of an answer");
  private final Histogram wait = histogram("model_wait", "Time that a request waited for a model");
  private final Histogram storeCall = histogram("store_call", "Time of a call to the store");

  /** Notes the end of a request. */
  void onEnded(String outcome) {
    ended.labelValues(outcome).inc();
  }

  /** Notes a request that is sent once more. */
  void onRetried(String cause) {
    retried.labelValues(cause).inc();
  }

  /** Notes a call to the platform or an order to a server. */
  public void onCall(String call, long tookMillis) {
    calls.labelValues(call).inc();
    storeCall.observe(tookMillis / MILLIS_PER_SECOND);
  }

  /** Notes the time to the head of an answer, in milliseconds. */
  void onFirstByte(long tookMillis) {
    firstByte.observe(tookMillis / MILLIS_PER_SECOND);
  }

  /** Notes how long a request waited for its model, in milliseconds. */
  void onModelWait(long tookMillis) {
    wait.observe(tookMillis / MILLIS_PER_SECOND);
  }

  /**
   * Adds a value that is read when the metrics are.
   *
   * @param name its name, without the prefix
   * @param help what it is
   * @param value reads it
   */
  public void registerGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name("nutmegseam_gateway_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /**
   * Adds a count that is read when the metrics are.
   *
   * @param name its name, without the prefix
   * @param help what it counts
   * @param value reads it
   */
  public void registerCounter(String name, String help, DoubleSupplier value) {
    CounterWithCallback.builder()
        .name("nutmegseam_gateway_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
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

  private Histogram histogram(String name, String help) {
    return Histogram.builder()
        .name("nutmegseam_gateway_" + name)
        .help(help)
        .unit(Unit.SECONDS)
        .classicOnly()
        .classicUpperBounds(BUCKETS_SECONDS)
        .register(registry);
  }
}
