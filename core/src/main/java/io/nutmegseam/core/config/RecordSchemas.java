package io.nutmegseam.core.config;

import io.nutmegseam.core.json.FieldSpec;
import io.nutmegseam.core.json.ObjectSchema;
import java.util.ArrayList;
import java.util.List;

/** The schemas of the record kinds, in every supported version. */
public final class RecordSchemas {
  /** The oldest supported schema version. */
  public static final int OLDEST_VERSION = 1;

  /** The newest supported schema version. */
  public static final int NEWEST_VERSION = 2;

  private static final long MAX_BYTES = 1L << 50;
  private static final int MAX_GIBIBYTES = 1 << 20;
  private static final int MAX_MEBIBYTES = 1 << 30;
  private static final int MAX_REPLICAS = 64;
  private static final long MAX_MILLIS = 86_400_000L;
  private static final long MAX_SECONDS = 86_400L;
  private static final int MAX_COUNT = 1_000_000;

  private RecordSchemas() {}

  /**
   * Returns the schema of a record kind in a version.
   *
   * @param kind the record kind
   * @param version a supported schema version
   */
  public static ObjectSchema schema(RecordKind kind, int version) {
    List<FieldSpec> fields = new ArrayList<>();
    fields.add(
        FieldSpec.integer(
            "schemaVersion", "-", OLDEST_VERSION, NEWEST_VERSION, "schema version of the record"));
    fields.add(FieldSpec.text("kind", "the record kind"));
    fields.add(FieldSpec.text("name", "the name, unique within the kind"));
    fields.addAll(version == 1 ? version1(kind) : version2(kind));
    return new ObjectSchema(List.copyOf(fields));
  }

  private static List<FieldSpec> version1(RecordKind kind) {
    return switch (kind) {
      case MODEL ->
          List.of(
              FieldSpec.integer(
                  "memoryGib", "GiB", 1, MAX_GIBIBYTES, "accelerator memory of one replica"),
              FieldSpec.integer(
                  "replicas", "replicas", 0, MAX_REPLICAS, "maximum number of loaded replicas"),
              FieldSpec.integer(
                  "loadSeconds", "s", 1, MAX_SECONDS, 10, "load time at full store speed"),
              FieldSpec.texts(
                  "dataCentres", "data centres that may host the model; empty for any"));
      case ADAPTER ->
          List.of(
              FieldSpec.text("model", "name of the base model"),
              FieldSpec.integer(
                  "memoryMib", "MiB", 1, MAX_MEBIBYTES, "accelerator memory of one replica"),
              FieldSpec.integer(
                  "replicas", "replicas", 0, MAX_REPLICAS, "maximum number of loaded replicas"));
      case SERVICE ->
          List.of(
              FieldSpec.texts(
                  "idempotentPaths", "path prefixes of calls that may run more than once"),
              FieldSpec.texts(
                  "unrepeatablePaths", "path prefixes of calls that must run at most once"),
              FieldSpec.integer("timeoutSeconds", "s", 1, MAX_SECONDS, 10, "timeout of each call"));
      case BACKEND_SERVER ->
          List.of(
              FieldSpec.text("address", "base URL, such as http://10.0.0.1:9000"),
              FieldSpec.text("dataCentre", "data centre of the server"),
              FieldSpec.text("vm", "VM that runs the server"),
              FieldSpec.optionalText(
                  "service", "", "plain service of the server; empty for a model engine"),
              FieldSpec.integer(
                  "memoryGib", "GiB", 0, MAX_GIBIBYTES, 0, "accelerator memory, 0 if it has none"),
              FieldSpec.number(
                  "tokensPerSecond", "tokens/s", 0.1, 1e6, 50, "generation speed of one stream"),
              FieldSpec.flag(
                  "checksFencing", false, "whether the server rejects outdated fencing numbers"));
      case DATA_CENTRE -> List.of();
      case POLICY ->
          List.of(
              FieldSpec.number(
                  "loadsPerSecond", "loads/s", 0.01, 1e4, 4.5, "load rate of the weight store"),
              FieldSpec.integer(
                  "loadsInParallel", "loads", 1, MAX_COUNT, 4, "concurrent loads at full speed"),
              FieldSpec.integer(
                  "interactiveDeadlineSeconds", "s", 1, MAX_SECONDS, 30, "default deadline"),
              FieldSpec.integer(
                  "batchDeadlineSeconds", "s", 1, MAX_SECONDS, 600, "default deadline"));
    };
  }

  private static List<FieldSpec> version2(RecordKind kind) {
    return switch (kind) {
      case MODEL ->
          List.of(
              FieldSpec.integer(
                  "memoryBytes", "bytes", 1, MAX_BYTES, "accelerator memory of one replica"),
              FieldSpec.integer(
                  "maxReplicas", "replicas", 0, MAX_REPLICAS, "maximum number of loaded replicas"),
              FieldSpec.integer(
                  "loadMillis", "ms", 1, MAX_MILLIS, 10_000, "load time at full store speed"),
              FieldSpec.texts("dataCentres", "data centres that may host the model; empty for any"),
              FieldSpec.texts("vms", "VMs that may host the model; empty for any"));
      case ADAPTER ->
          List.of(
              FieldSpec.text("model", "name of the base model"),
              FieldSpec.integer(
                  "memoryBytes", "bytes", 1, MAX_BYTES, "accelerator memory of one replica"),
              FieldSpec.integer(
                  "maxReplicas", "replicas", 0, MAX_REPLICAS, "maximum number of loaded replicas"));
      case SERVICE -> List.of(FieldSpec.objects("calls", call(), "calls that the service accepts"));
      case BACKEND_SERVER ->
          List.of(
              FieldSpec.text("address", "base URL, such as http://10.0.0.1:9000"),
              FieldSpec.text("dataCentre", "data centre of the server"),
              FieldSpec.text("vm", "VM that runs the server"),
              FieldSpec.optionalText(
                  "service", "", "plain service of the server; empty for a model engine"),
              FieldSpec.integer(
                  "memoryBytes", "bytes", 0, MAX_BYTES, 0, "accelerator memory, 0 if it has none"),
              FieldSpec.integer("accelerators", "-", 0, MAX_COUNT, 1, "number of accelerators"),
              FieldSpec.number(
                  "tokensPerSecond", "tokens/s", 0.1, 1e6, 50, "generation speed of one stream"),
              FieldSpec.flag(
                  "checksFencing", false, "whether the server rejects outdated fencing numbers"),
              FieldSpec.flag("draining", false, "whether the server receives no new work"));
      case DATA_CENTRE -> List.of(FieldSpec.text("region", "region of the data centre"));
      case POLICY -> policy();
    };
  }

  private static ObjectSchema call() {
    return ObjectSchema.of(
        FieldSpec.text("path", "path prefix after the service name"),
        FieldSpec.flag("idempotent", false, "whether the call may run more than once"),
        FieldSpec.integer("timeoutMillis", "ms", 1, MAX_MILLIS, 10_000, "timeout of the call"));
  }

  private static List<FieldSpec> policy() {
    return List.of(
        FieldSpec.number(
            "loadsPerSecond", "loads/s", 0.01, 1e4, 4.5, "load rate of the weight store"),
        FieldSpec.integer(
            "loadsInParallel", "loads", 1, MAX_COUNT, 4, "concurrent loads at full speed"),
        FieldSpec.integer(
            "adaptersInTransit", "adapters", 1, MAX_COUNT, 32, "limit on concurrent adapter loads"),
        FieldSpec.number(
            "idleSecondsPerColdStartSecond",
            "s/s",
            0,
            1e6,
            30,
            "idle accelerator seconds that are acceptable to save one cold-start second"),
        FieldSpec.choice(
            "routing", List.of("expected-completion", "random"), "how backend servers are chosen"),
        FieldSpec.choice(
            "eviction", List.of("reuse-cost", "least-recent"), "how units to unload are chosen"),
        FieldSpec.choice(
            "loadOrder", List.of("deadline", "arrival"), "order in which waiting loads start"),
        FieldSpec.flag(
            "storeBudget", true, "whether loads wait for a permit of the weight-store budget"),
        FieldSpec.flag("coalescing", true, "whether all nodes request a load on the same server"),
        FieldSpec.integer(
            "queueLimit", "requests", 1, MAX_COUNT, 200, "waiting requests per model and class"),
        FieldSpec.integer(
            "interactiveDeadlineMillis", "ms", 1, MAX_MILLIS, 30_000, "default deadline"),
        FieldSpec.integer("batchDeadlineMillis", "ms", 1, MAX_MILLIS, 600_000, "default deadline"),
        FieldSpec.integer(
            "scaleUpWaitMillis", "ms", 1, MAX_MILLIS, 4_000, "wait before busy units are unloaded"),
        FieldSpec.integer(
            "retryPercent", "%", 0, 100, 20, "retries as a percentage of new requests"),
        FieldSpec.integer(
            "maxStrikes", "crashes", 1, 100, 2, "crashes after which a request is refused"),
        FieldSpec.integer(
            "claimRetentionMillis", "ms", 1_000, 30 * MAX_MILLIS, MAX_MILLIS, "retention time"));
  }
}
