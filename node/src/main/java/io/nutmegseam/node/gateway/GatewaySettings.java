package io.nutmegseam.node.gateway;

import io.nutmegseam.core.json.FieldSpec;
import io.nutmegseam.core.json.JsonReader;
import io.nutmegseam.core.json.JsonValue;
import io.nutmegseam.core.json.ObjectSchema;
import io.nutmegseam.core.json.TypedObject;
import io.nutmegseam.core.json.ValidationError;
import io.nutmegseam.node.settings.HostPort;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a gateway node.
 *
 * @param node name of the node
 * @param dataCentre data centre in which it runs
 * @param callerAddress address for callers
 * @param readyAddress address for readiness checks
 * @param peerAddress address for other nodes
 * @param metricsAddress address for metrics
 * @param storeAddress address of the platform's store
 * @param graceMillis time between the request to stop and the forced end, in milliseconds
 * @param orderQuietMillis least time between orders of two nodes, in milliseconds
 * @param retryRatio repeats allowed for each first arrival at a service
 * @param retrySlack repeats allowed besides, over all nodes
 * @param retryWindowMillis window of the limit on repeats, in milliseconds
 * @param loadWindowMillis window of the limit on loads from the weight store, in milliseconds
 * @param parallelLoads loads from the weight store that run side by side at full speed
 * @param processorPower processor power of the VM, in cores of normal speed
 */
public record GatewaySettings(
    String node,
    String dataCentre,
    HostPort callerAddress,
    HostPort readyAddress,
    HostPort peerAddress,
    HostPort metricsAddress,
    HostPort storeAddress,
    long graceMillis,
    long orderQuietMillis,
    double retryRatio,
    double retrySlack,
    long retryWindowMillis,
    long loadWindowMillis,
    int parallelLoads,
    double processorPower) {
  private static final long MAX_MILLIS = 3_600_000L;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final double MAX_NUMBER = 1e6;
  private static final long MAX_SECONDS = 3_600;

  /** The keys of a settings file. */
  public static final ObjectSchema SCHEMA =
      ObjectSchema.of(
          FieldSpec.text("node", "name of the node, unique over all data centres"),
          FieldSpec.text("dataCentre", "data centre in which it runs"),
          FieldSpec.text("callerAddress", "IP number and port for callers"),
          FieldSpec.text("readyAddress", "IP number and port for readiness checks"),
          FieldSpec.text("peerAddress", "IP number and port for other nodes"),
          FieldSpec.text("metricsAddress", "IP number and port for metrics"),
          FieldSpec.text("storeAddress", "IP number and port of the platform's store"),
          FieldSpec.integer(
              "graceSeconds", "s", 1, MAX_SECONDS, 8, "time to stop before the forced end"),
          FieldSpec.integer(
              "orderQuietMillis", "ms", 0, MAX_MILLIS, 3_000, "between orders of two nodes"),
          FieldSpec.number(
              "retryRatio", "-", 0, 1, 0.2, "repeats for each first arrival at a service"),
          FieldSpec.number("retrySlack", "-", 0, MAX_NUMBER, 50, "repeats besides, in a window"),
          FieldSpec.integer(
              "retryWindowSeconds", "s", 1, MAX_SECONDS, 10, "window of the limit on repeats"),
          FieldSpec.integer(
              "loadWindowSeconds", "s", 1, MAX_SECONDS, 5, "window of the limit on store loads"),
          FieldSpec.integer(
              "parallelLoads", "-", 1, 1_000, 4, "loads from the weight store side by side"),
          FieldSpec.number(
              "processorShare", "cores", 0, MAX_NUMBER, 1, "part of a core that the VM has"),
          FieldSpec.number(
              "processorSpeed", "-", 0, MAX_NUMBER, 1, "speed of that core beside a normal one"));

  /**
   * Reads settings.
   *
   * @param text JSON with comments
   * @param faults receives every fault found
   * @return the settings, or empty if there is a fault
   */
  public static Optional<GatewaySettings> parse(String text, List<ValidationError> faults) {
    Optional<JsonValue> document = JsonReader.read(text, faults);
    if (document.isEmpty()) {
      return Optional.empty();
    }
    TypedObject fields = SCHEMA.validate(document.get(), faults);
    if (!faults.isEmpty()) {
      return Optional.empty();
    }
    Reader reader = new Reader(document.get(), fields, faults);
    GatewaySettings settings =
        new GatewaySettings(
            fields.text("node"),
            fields.text("dataCentre"),
            reader.address("callerAddress"),
            reader.address("readyAddress"),
            reader.address("peerAddress"),
            reader.address("metricsAddress"),
            reader.address("storeAddress"),
            fields.integer("graceSeconds") * MILLIS_PER_SECOND,
            fields.integer("orderQuietMillis"),
            fields.number("retryRatio"),
            fields.number("retrySlack"),
            fields.integer("retryWindowSeconds") * MILLIS_PER_SECOND,
            fields.integer("loadWindowSeconds") * MILLIS_PER_SECOND,
            fields.smallInteger("parallelLoads"),
            fields.number("processorShare") * fields.number("processorSpeed"));
    return faults.isEmpty() ? Optional.of(settings) : Optional.empty();
  }

  private record Reader(JsonValue root, TypedObject fields, List<ValidationError> faults) {
    HostPort address(String key) {
      Optional<HostPort> address = HostPort.parse(fields.text(key));
      if (address.isEmpty()) {
        JsonValue at = root.fields().getOrDefault(key, root);
        String message = "\"%s\" is \"%s\", not host:port".formatted(key, fields.text(key));
        faults.add(new ValidationError(at.line(), at.column(), message));
      }
      return address.orElse(new HostPort("", 1));
    }
  }
}
