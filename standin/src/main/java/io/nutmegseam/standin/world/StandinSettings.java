package io.nutmegseam.standin.world;

import io.nutmegseam.core.json.FieldSpec;
import io.nutmegseam.core.json.JsonReader;
import io.nutmegseam.core.json.ObjectSchema;
import io.nutmegseam.core.json.TypedObject;
import io.nutmegseam.core.json.ValidationError;
import io.nutmegseam.standin.engine.EngineProfile;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Which stand-ins run in a process.
 *
 * @param platformPort port of the platform; 0 for none
 * @param loadsPerSecond model fetches a second of the weight store at full speed
 * @param loadsInParallel model fetches at once at full speed
 * @param platformAddress base address of the platform, whose weight store the engines use
 * @param engines the engines
 * @param services the plain services
 */
public record StandinSettings(
    int platformPort,
    double loadsPerSecond,
    int loadsInParallel,
    String platformAddress,
    List<Engine> engines,
    List<Service> services) {
  private static final int MAX_PORT = 65_535;
  private static final long MAX_BYTES = 1L << 50;
  private static final long MAX_MILLIS = 3_600_000;

  private static final ObjectSchema ENGINE =
      ObjectSchema.of(
          FieldSpec.text("name", "name"),
          FieldSpec.integer("port", "-", 1, MAX_PORT, "port"),
          FieldSpec.integer("memoryBytes", "bytes", 1, MAX_BYTES, "memory"),
          FieldSpec.integer("accelerators", "-", 1, 1_000, 1, "accelerators"),
          FieldSpec.number("tokensPerSecond", "tokens/s", 0.1, 1e6, 50, "speed"),
          FieldSpec.flag("checksFencing", true, "fencing"),
          FieldSpec.texts("cachedUnits", "units on disk"),
          FieldSpec.integer("diskLoadMillis", "ms", 0, MAX_MILLIS, 300, "load from disk"),
          FieldSpec.integer("reportLagMillis", "ms", 0, MAX_MILLIS, 500, "lag of reports"),
          FieldSpec.integer("restartMillis", "ms", 0, MAX_MILLIS, 1_000, "time to restart"));

  private static final ObjectSchema SERVICE =
      ObjectSchema.of(
          FieldSpec.integer("port", "-", 1, MAX_PORT, "port"),
          FieldSpec.integer("workMillis", "ms", 0, MAX_MILLIS, 20, "time of a call"));

  private static final ObjectSchema SCHEMA =
      ObjectSchema.of(
          FieldSpec.integer("platformPort", "-", 0, MAX_PORT, 0, "port of the platform"),
          FieldSpec.number("loadsPerSecond", "loads/s", 0.01, 1e4, 4.5, "fetches a second"),
          FieldSpec.integer("loadsInParallel", "-", 1, 1_000, 4, "fetches at once"),
          FieldSpec.optionalText("platformAddress", "", "platform of the engines"),
          FieldSpec.objects("engines", ENGINE, "engines"),
          FieldSpec.objects("services", SERVICE, "plain services"));

  /**
   * An engine and its port.
   *
   * @param port the port
   * @param profile what it plays
   */
  public record Engine(int port, EngineProfile profile) {}

  /**
   * A plain service and its port.
   *
   * @param port the port
   * @param workMillis time of a call
   */
  public record Service(int port, long workMillis) {}

  /**
   * Reads settings.
   *
   * @param text JSON with comments
   * @throws IllegalArgumentException if there is a fault
   */
  public static StandinSettings parse(String text) {
    List<ValidationError> faults = new ArrayList<>();
    TypedObject fields =
        JsonReader.read(text, faults)
            .map(value -> SCHEMA.validate(value, faults))
            .orElse(TypedObject.empty());
    if (!faults.isEmpty()) {
      throw new IllegalArgumentException(faults.toString());
    }
    return new StandinSettings(
        fields.smallInteger("platformPort"),
        fields.number("loadsPerSecond"),
        fields.smallInteger("loadsInParallel"),
        fields.text("platformAddress"),
        fields.objects("engines").stream().map(StandinSettings::engine).toList(),
        fields.objects("services").stream()
            .map(s -> new Service(s.smallInteger("port"), s.integer("workMillis")))
            .toList());
  }

  private static Engine engine(TypedObject fields) {
    return new Engine(
        fields.smallInteger("port"),
        new EngineProfile(
            fields.text("name"),
            fields.integer("memoryBytes"),
            fields.smallInteger("accelerators"),
            fields.number("tokensPerSecond"),
            fields.flag("checksFencing"),
            Set.copyOf(fields.texts("cachedUnits")),
            fields.integer("diskLoadMillis"),
            fields.integer("reportLagMillis"),
            fields.integer("restartMillis")));
  }
}
