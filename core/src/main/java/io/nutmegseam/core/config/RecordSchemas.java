package io.nutmegseam.core.config;

import io.nutmegseam.core.json.FieldSpec;
import io.nutmegseam.core.json.ObjectSchema;
import java.util.ArrayList;
import java.util.List;

/** The schema of each record kind in each supported version. */
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
   * Returns the schema of a kind in a version.
   *
   * @param kind the record kind
   * @param version a supported schema version
   */
  public static ObjectSchema schema(RecordKind kind, int version) {
    List<FieldSpec> fields = new ArrayList<>();
    fields.add(
        FieldSpec.integer(
            "schemaVersion", "-", OLDEST_VERSION, NEWEST_VERSION, "version of this schema"));
    fields.add(FieldSpec.text("kind", "the record kind"));
    fields.add(FieldSpec.text("name", "the name, unique within the kind"));
    fields.addAll(version == 1 ? version1(kind) : version2(kind));
    return new ObjectSchema(List.copyOf(fields));
  }

  private static List<FieldSpec> version1(RecordKind kind) {
    return switch (kind) {
      case MODEL ->
          List.of(
              FieldSpec.integer("memoryGib", "GiB", 1, MAX_GIBIBYTES, "memory of one replica"),
              FieldSpec.integer("replicas", "replicas", 0, MAX_REPLICAS, "most loaded replicas"),
              FieldSpec.integer(
                  "loadSeconds", "s", 1, MAX_SECONDS, 10, "time of a load at full store speed"),
              FieldSpec.texts("dataCentres", "data centres that may carry it; empty for any"));
      case ADAPTER ->
          List.of(
              FieldSpec.text("model", "the model that it adapts"),
              FieldSpec.integer("memoryMib", "MiB", 1, MAX_MEBIBYTES, "memory of one replica"),
              FieldSpec.integer("replicas", "replicas", 0, MAX_REPLICAS, "most loaded replicas"));
      case SERVICE ->
          List.of(
              FieldSpec.texts("idempotentPaths", "path prefixes of calls that may be repeated"),
              FieldSpec.texts("unrepeatablePaths", "path prefixes of calls that may not"),
              FieldSpec.integer(
                  "timeoutSeconds", "s", 1, MAX_SECONDS, 10, "longest time to an answer"));
      case BACKEND_SERVER ->
          List.of(
              FieldSpec.text("address", "base address, such as http://10.0.0.1:9000"),
              FieldSpec.text("dataCentre", "data centre where it stands"),
              FieldSpec.text("vm", "VM on which it runs"),
              FieldSpec.optionalText("service", "", "plain service; empty for a model engine"),
              FieldSpec.integer("memoryGib", "GiB", 0, MAX_GIBIBYTES, 0, "accelerator memory"),
              FieldSpec.number("tokensPerSecond", "tokens/s", 0.1, 1e6, 50, "speed of a stream"),
              FieldSpec.flag("checksFencing", false, "whether it refuses old fencing numbers"));
      case DATA_CENTRE -> List.of();
      case POLICY ->
          List.of(
              FieldSpec.number("loadsPerSecond", "loads/s", 0.01, 1e4, 4.5, "store's rate"),
              FieldSpec.integer("loadsInParallel", "loads", 1, MAX_COUNT, 4, "at full speed"),
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
              FieldSpec.integer("memoryBytes", "bytes", 1, MAX_BYTES, "memory of one replica"),
              FieldSpec.integer("maxReplicas", "replicas", 0, MAX_REPLICAS, "most loaded replicas"),
              FieldSpec.integer(
                  "loadMillis", "ms", 1, MAX_MILLIS, 10_000, "time of a load at full store speed"),
              FieldSpec.texts("dataCentres", "data centres that may carry it; empty for any"),
              FieldSpec.texts("vms", "VMs that may carry it; empty for any"));
      case ADAPTER ->
          List.of(
              FieldSpec.text("model", "the model that it adapts"),
              FieldSpec.integer("memoryBytes", "bytes", 1, MAX_BYTES, "memory of one replica"),
              FieldSpec.integer(
                  "maxReplicas", "replicas", 0, MAX_REPLICAS, "most loaded replicas"));
      case SERVICE -> List.of(FieldSpec.objects("calls", call(), "the calls that it takes"));
      case BACKEND_SERVER ->
          List.of(
              FieldSpec.text("address", "base address, such as http://10.0.0.1:9000"),
              FieldSpec.text("dataCentre", "data centre where it stands"),
              FieldSpec.text("vm", "VM on which it runs"),
              FieldSpec.optionalText("service", "", "plain service; empty for a model engine"),
              FieldSpec.integer("memoryBytes", "bytes", 0, MAX_BYTES, 0, "accelerator memory"),
              FieldSpec.integer("accelerators", "-", 0, MAX_COUNT, 1, "number of accelerators"),
              FieldSpec.number("tokensPerSecond", "tokens/s", 0.1, 1e6, 50, "speed of a stream"),
              FieldSpec.flag("checksFencing", false, "whether it refuses old fencing numbers"),
              FieldSpec.flag("draining", false, "whether it should get no new work"));
      case DATA_CENTRE -> List.of(FieldSpec.text("region", "region in which it stands"));
      case POLICY -> policy();
    };
  }

  private static ObjectSchema call() {
    return ObjectSchema.of(
        FieldSpec.text("path", "path prefix within the service"),
        FieldSpec.flag("idempotent", false, "whether the call may be repeated"),
        FieldSpec.integer("timeoutMillis", "ms", 1, MAX_MILLIS, 10_000, "longest time to answer"));
  }

  private static List<FieldSpec> policy() {
    return List.of(
        FieldSpec.number("loadsPerSecond", "loads/s", 0.01, 1e4, 4.5, "store's rate"),
        FieldSpec.integer("loadsInParallel", "loads", 1, MAX_COUNT, 4, "at full speed"),
        FieldSpec.integer("adaptersInTransit", "adapters", 1, MAX_COUNT, 32, "at full speed"),
        FieldSpec.number(
            "idleSecondsPerColdStartSecond",
            "s/s",
            0,
            1e6,
            30,
            "idle accelerator seconds worth spending to save one cold-start second"),
        FieldSpec.choice("routing", List.of("expected-completion", "random"), "routing policy"),
        FieldSpec.choice("eviction", List.of("reuse-cost", "least-recent"), "eviction policy"),
        FieldSpec.choice("loadOrder", List.of("deadline", "arrival"), "order of waiting loads"),
        FieldSpec.flag("storeBudget", true, "whether loads wait for a permit"),
        FieldSpec.flag("coalescing", true, "whether routers agree on one replica to wake"),
        FieldSpec.integer("queueLimit", "requests", 1, MAX_COUNT, 200, "waiting per model, class"),
        FieldSpec.integer(
            "interactiveDeadlineMillis", "ms", 1, MAX_MILLIS, 30_000, "default deadline"),
        FieldSpec.integer("batchDeadlineMillis", "ms", 1, MAX_MILLIS, 600_000, "default deadline"),
        FieldSpec.integer(
            "scaleUpWaitMillis", "ms", 1, MAX_MILLIS, 4_000, "wait that justifies a replica"),
        FieldSpec.integer("retryPercent", "%", 0, 100, 20, "retries as a share of requests"),
        FieldSpec.integer("maxStrikes", "crashes", 1, 100, 2, "crashes before a final refusal"),
        FieldSpec.integer(
            "claimRetentionMillis", "ms", 1_000, 30 * MAX_MILLIS, MAX_MILLIS, "kept claims"));
  }
}
