package io.nutmegseam.core.config;

import io.nutmegseam.core.json.TypedObject;

/** Builds records from validated fields of the newest schema version. */
final class RecordBuilder {
  private RecordBuilder() {}

  static OperatorRecord build(RecordKind kind, TypedObject fields) {
    return switch (kind) {
      case MODEL -> model(fields);
      case ADAPTER -> adapter(fields);
      case SERVICE -> service(fields);
      case BACKEND_SERVER -> backendServer(fields);
      case DATA_CENTRE -> new DataCentreRecord(fields.text("name"), fields.text("region"));
      case POLICY -> policy(fields);
    };
  }

  private static ModelRecord model(TypedObject fields) {
    return new ModelRecord(
        fields.text("name"),
        fields.integer("memoryBytes"),
        fields.smallInteger("maxReplicas"),
        fields.integer("loadMillis"),
        fields.texts("dataCentres"),
        fields.texts("vms"));
  }

  private static AdapterRecord adapter(TypedObject fields) {
    return new AdapterRecord(
        fields.text("name"),
        fields.text("model"),
        fields.integer("memoryBytes"),
        fields.smallInteger("maxReplicas"));
  }

  private static ServiceRecord service(TypedObject fields) {
    return new ServiceRecord(
        fields.text("name"),
        fields.objects("calls").stream()
            .map(
                call ->
                    new ServiceRecord.Call(
                        call.text("path"), call.flag("idempotent"), call.integer("timeoutMillis")))
            .toList());
  }

  private static BackendServerRecord backendServer(TypedObject fields) {
    return new BackendServerRecord(
        fields.text("name"),
        fields.text("address"),
        fields.text("dataCentre"),
        fields.text("vm"),
        fields.text("service"),
        fields.integer("memoryBytes"),
        fields.smallInteger("accelerators"),
        fields.number("tokensPerSecond"),
        fields.flag("checksFencing"),
        fields.flag("draining"));
  }

  static PolicyRecord policy(TypedObject fields) {
    return new PolicyRecord(
        PolicyRecord.NAME,
        fields.number("loadsPerSecond"),
        fields.smallInteger("loadsInParallel"),
        fields.smallInteger("adaptersInTransit"),
        fields.number("idleSecondsPerColdStartSecond"),
        fields.text("routing"),
        fields.text("eviction"),
        fields.text("loadOrder"),
        fields.flag("storeBudget"),
        fields.flag("coalescing"),
        fields.smallInteger("queueLimit"),
        fields.integer("interactiveDeadlineMillis"),
        fields.integer("batchDeadlineMillis"),
        fields.integer("scaleUpWaitMillis"),
        fields.smallInteger("retryPercent"),
        fields.smallInteger("maxStrikes"),
        fields.integer("claimRetentionMillis"));
  }
}
