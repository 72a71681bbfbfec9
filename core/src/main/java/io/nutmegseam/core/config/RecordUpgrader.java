package io.nutmegseam.core.config;

import io.nutmegseam.core.json.TypedObject;
import java.util.ArrayList;
import java.util.List;

/** Converts the fields of records from schema version 1 to version 2. */
final class RecordUpgrader {
  private static final long GIBIBYTE = 1L << 30;
  private static final long MEBIBYTE = 1L << 20;
  private static final long MILLIS_PER_SECOND = 1_000;

  private RecordUpgrader() {}

  static TypedObject upgradeFromVersion1(RecordKind kind, TypedObject old, TypedObject defaults) {
    return switch (kind) {
      case MODEL ->
          old.withScaled("memoryGib", "memoryBytes", GIBIBYTE)
              .withScaled("replicas", "maxReplicas", 1)
              .withScaled("loadSeconds", "loadMillis", MILLIS_PER_SECOND)
              .with("vms", List.of());
      case ADAPTER ->
          old.withScaled("memoryMib", "memoryBytes", MEBIBYTE)
              .withScaled("replicas", "maxReplicas", 1);
      case SERVICE -> old.with("calls", calls(old));
      case BACKEND_SERVER ->
          old.withScaled("memoryGib", "memoryBytes", GIBIBYTE)
              .with("accelerators", defaults.integer("accelerators"))
              .with("draining", defaults.flag("draining"));
      case DATA_CENTRE -> old.with("region", old.text("name"));
      case POLICY ->
          defaults
              .with("name", old.text("name"))
              .with("loadsPerSecond", old.number("loadsPerSecond"))
              .with("loadsInParallel", old.integer("loadsInParallel"))
              .with(
                  "interactiveDeadlineMillis",
                  old.integer("interactiveDeadlineSeconds") * MILLIS_PER_SECOND)
              .with("batchDeadlineMillis", old.integer("batchDeadlineSeconds") * MILLIS_PER_SECOND);
    };
  }

  private static List<TypedObject> calls(TypedObject old) {
    List<TypedObject> calls = new ArrayList<>();
    for (String path : old.texts("idempotentPaths")) {
      calls.add(call(old, path, true));
    }
    for (String path : old.texts("unrepeatablePaths")) {
      calls.add(call(old, path, false));
    }
    return calls;
  }

  private static TypedObject call(TypedObject old, String path, boolean idempotent) {
    return TypedObject.empty()
        .with("path", path)
        .with("idempotent", idempotent)
        .with("timeoutMillis", old.integer("timeoutSeconds") * MILLIS_PER_SECOND);
  }
}
