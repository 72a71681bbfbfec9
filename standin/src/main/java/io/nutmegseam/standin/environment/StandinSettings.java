package io.nutmegseam.standin.environment;

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
 * Settings of the stand-ins that run in one process.
 *
 * @param platformPort port of the platform stand-in; 0 to run none
 * @param loadsPerSecond model fetches per second of the weight store while {@code loadsInParallel}
 *     of them run
 * @param loadsInParallel number of parallel model fetches that run at full speed
 * @param platformAddress base address of the platform from whose weight store the engines fetch
 * @param engines the engine stand-ins
 * @param services the stand-ins for plain services
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

  private static final ObjectSchema ENGINE_SCHEMA =
      ObjectSchema.of(
          FieldSpec.text("name", "name"),
          FieldSpec.integer("port", "-", 1, MAX_PORT, "port"),
          FieldSpec.integer("memoryBytes", "bytes", 1, MAX_BYTES, "memory"),
          FieldSpec.integer("accelerators", "-", 1, 1_000, 1, "accelerators"),
          FieldSpec.number("tokensPerSecond", "tokens/s", 0.1, 1e6, 50, "speed"),
          FieldSpec.flag("checksFencing", true, "fencing"),
          FieldSpec.texts("cachedUnits", "units whose weights are on disk"),
          FieldSpec.integer(
              "diskLoadMillis", "ms", 0, MAX_MILLIS, 300, "time to load a model from disk"),
          FieldSpec.integer("reportLagMillis", "ms", 0, MAX_MILLIS, 500, "lag of load reports"),
          FieldSpec.integer("restartMillis", "ms", 0, MAX_MILLIS, 1_000, "time to restart"));

  private static final ObjectSchema SERVICE_SCHEMA =
      ObjectSchema.of(
          FieldSpec.integer("port", "-", 1, MAX_PORT, "port"),
          FieldSpec.integer("workMillis", "ms", 0, MAX_MILLIS, 20, "duration of a call"));

  private static final ObjectSchema SCHEMA =
      ObjectSchema.of(
          FieldSpec.integer(
              "platformPort", "-", 0, MAX_PORT, 0, "port of the platform; 0 for none"),
          FieldSpec.number(
              "loadsPerSecond",
              "loads/s",
              0.01,
              1e4,
              4.5,
              "model fetches per second at full speed"),
          FieldSpec.integer(
              "loadsInParallel", "-", 1, 1_000, 4, "parallel model fetches at full speed"),
          FieldSpec.optionalText(
              "platformAddress", "", "base address of the platform of the engines"),
          FieldSpec.objects("engines", ENGINE_SCHEMA, "engines"),
          FieldSpec.objects("services", SERVICE_SCHEMA, "plain services"));

  /**
   * Settings of an engine stand-in.
   *
   * @param port the port on 127.0.0.1
   * @param profile the engine that it simulates
   */
  public record Engine(int port, EngineProfile profile) {}

  /**
   * Settings of a stand-in for a plain service.
   *
   * @param port the port on 127.0.0.1
   * @param workMillis duration of a call, in milliseconds
   */
  public record Service(int port, long workMillis) {}

  /**
   * Parses settings.
   *
   * @param text JSON with comments
   * @throws IllegalArgumentException if the text is invalid; the message lists all errors
   */
  public static StandinSettings parse(String text) {
    List<ValidationError> errors = new ArrayList<>();
    TypedObject fields =
        JsonReader.read(text, errors)
            .map(value -> SCHEMA.validate(value, errors))
            .orElse(TypedObject.empty());
    if (!errors.isEmpty()) {
      throw new IllegalArgumentException(errors.toString());
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
