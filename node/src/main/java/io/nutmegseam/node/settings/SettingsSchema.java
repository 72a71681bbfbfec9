package io.nutmegseam.node.settings;

import io.nutmegseam.core.json.FieldSpec;
import io.nutmegseam.core.json.ObjectSchema;

/** The keys of a settings file. */
public final class SettingsSchema {
  private static final long MAX_MILLIS = 3_600_000L;
  private static final int MAX_BYTES = 1 << 30;
  private static final int MAX_COUNT = 1_000_000;

  private static final ObjectSchema CALLER =
      ObjectSchema.of(
          FieldSpec.text("name", "name of the caller"),
          FieldSpec.text("key", "secret sent as `Authorization: Bearer KEY`"));

  /** The schema. */
  public static final ObjectSchema SCHEMA =
      ObjectSchema.of(
          FieldSpec.text("node", "name of the node, unique over all data centres"),
          FieldSpec.text("vm", "name of the VM on which it runs, as in the VM list"),
          FieldSpec.text("dataCentre", "data centre in which it runs"),
          FieldSpec.text("callerAddress", "IP number and port for callers"),
          FieldSpec.text("operatorAddress", "IP number and port for operators"),
          FieldSpec.text("peerAddress", "IP number and port for other nodes"),
          FieldSpec.optionalText(
              "peerAdvertisedAddress", "", "address that peers dial; empty: `peerAddress`"),
          FieldSpec.text("platformAddress", "base address of the platform's services"),
          FieldSpec.texts("peerSeeds", "peer addresses to ask while the platform is out"),
          FieldSpec.optionalText("clusterToken", "", "secret shared by all nodes"),
          FieldSpec.optionalText("operatorToken", "", "secret of operators; empty for none"),
          FieldSpec.objects("callers", CALLER, "callers and keys; empty takes every caller"),
          FieldSpec.integer("bodyBytes", "bytes", 1, MAX_BYTES, 4 << 20, "largest request body"),
          FieldSpec.integer(
              "storedAnswerBytes",
              "bytes",
              0,
              MAX_BYTES,
              64 << 10,
              "largest stored answer of a call that may not be repeated"),
          FieldSpec.integer("frameBytes", "bytes", 1_024, MAX_BYTES, 4 << 20, "largest peer frame"),
          FieldSpec.integer("workerThreads", "-", 1, MAX_COUNT, 256, "threads that serve callers"),
          FieldSpec.integer("timelineEvents", "-", 0, MAX_COUNT, 4_000, "events kept in memory"),
          FieldSpec.integer("leaseMillis", "ms", 100, MAX_MILLIS, 6_000, "lease time"),
          FieldSpec.integer("renewMillis", "ms", 10, MAX_MILLIS, 1_500, "between renewals"),
          FieldSpec.integer("pollMillis", "ms", 10, MAX_MILLIS, 1_000, "between reads of rows"),
          FieldSpec.integer("heartbeatMillis", "ms", 10, MAX_MILLIS, 1_000, "between heartbeats"),
          FieldSpec.integer("tickMillis", "ms", 10, MAX_MILLIS, 100, "between control rounds"),
          FieldSpec.integer("reportMillis", "ms", 10, MAX_MILLIS, 500, "between load reports"),
          FieldSpec.integer(
              "settleMillis", "ms", 10, MAX_MILLIS, 4_000, "time in which an order arrives"),
          FieldSpec.integer(
              "platformTimeoutMillis",
              "ms",
              10,
              MAX_MILLIS,
              2_000,
              "longest wait for the platform"),
          FieldSpec.integer(
              "orderTimeoutMillis", "ms", 10, MAX_MILLIS, 2_000, "longest wait for an order"),
          FieldSpec.integer(
              "drainMillis", "ms", 0, MAX_MILLIS, 60_000, "longest wait at a graceful shutdown"),
          FieldSpec.optionalText("peerCertificateFile", "", "PEM certificate chain; empty: no TLS"),
          FieldSpec.optionalText("peerKeyFile", "", "PEM private key"),
          FieldSpec.optionalText("peerTrustFile", "", "PEM certificates of the authority"));

  private SettingsSchema() {}
}
