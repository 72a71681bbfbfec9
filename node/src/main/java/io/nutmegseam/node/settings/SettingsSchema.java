package io.nutmegseam.node.settings;

import io.nutmegseam.core.json.FieldSpec;
import io.nutmegseam.core.json.ObjectSchema;

/** Defines the keys of a node's settings file. */
public final class SettingsSchema {
  private static final long MAX_MILLIS = 3_600_000L;
  private static final int MAX_BYTES = 1 << 30;
  private static final int MAX_COUNT = 1_000_000;

  private static final ObjectSchema CALLER =
      ObjectSchema.of(
          FieldSpec.text("name", "name of the caller"),
          FieldSpec.text("key", "secret sent as `Authorization: Bearer KEY`"));

  /** The schema of a node's settings file. */
  public static final ObjectSchema SCHEMA =
      ObjectSchema.of(
          FieldSpec.text("node", "name of the node, unique over all data centres"),
          FieldSpec.text("vm", "name of the VM on which the node runs, as in the VM list"),
          FieldSpec.text("dataCentre", "data centre in which the node runs"),
          FieldSpec.text("callerAddress", "IP address and port for callers"),
          FieldSpec.text("operatorAddress", "IP address and port for operators"),
          FieldSpec.text("peerAddress", "IP address and port for other nodes"),
          FieldSpec.optionalText(
              "peerAdvertisedAddress",
              "",
              "address that other nodes connect to; empty: `peerAddress`"),
          FieldSpec.text("platformAddress", "base URL of the platform's services"),
          FieldSpec.texts(
              "peerSeeds",
              "peers to connect to while no peer is connected, as when the platform is unavailable"),
          FieldSpec.optionalText("clusterToken", "", "secret shared by all nodes"),
          FieldSpec.optionalText("operatorToken", "", "secret of operators; empty to require none"),
          FieldSpec.objects(
              "callers", CALLER, "callers and their keys; empty to accept every caller"),
          FieldSpec.integer("bodyBytes", "bytes", 1, MAX_BYTES, 4 << 20, "largest request body"),
          FieldSpec.integer(
              "storedAnswerBytes",
              "bytes",
              0,
              MAX_BYTES,
              64 << 10,
              "largest stored response of a non-idempotent call"),
          FieldSpec.integer(
              "frameBytes", "bytes", 1_024, MAX_BYTES, 4 << 20, "largest frame between nodes"),
          FieldSpec.integer(
              "workerThreads", "-", 1, MAX_COUNT, 256, "number of threads that serve callers"),
          FieldSpec.integer(
              "timelineEvents",
              "-",
              0,
              MAX_COUNT,
              4_000,
              "number of events kept in memory for the timeline"),
          FieldSpec.integer(
              "leaseMillis",
              "ms",
              100,
              MAX_MILLIS,
              6_000,
              "time without a renewal after which a lease lapses"),
          FieldSpec.integer(
              "renewMillis", "ms", 10, MAX_MILLIS, 1_500, "interval between lease renewals"),
          FieldSpec.integer(
              "pollMillis",
              "ms",
              10,
              MAX_MILLIS,
              1_000,
              "interval between reads of the control rows"),
          FieldSpec.integer(
              "heartbeatMillis",
              "ms",
              10,
              MAX_MILLIS,
              1_000,
              "interval between heartbeats within a data centre"),
          FieldSpec.integer(
              "tickMillis",
              "ms",
              10,
              MAX_MILLIS,
              100,
              "interval between periodic runs of the control thread"),
          FieldSpec.integer(
              "reportMillis",
              "ms",
              10,
              MAX_MILLIS,
              500,
              "interval between reads of load reports and inventories"),
          FieldSpec.integer(
              "settleMillis",
              "ms",
              10,
              MAX_MILLIS,
              4_000,
              "time after which an order in transit has arrived or is lost"),
          FieldSpec.integer(
              "platformTimeoutMillis",
              "ms",
              10,
              MAX_MILLIS,
              2_000,
              "time limit for a request to the platform"),
          FieldSpec.integer(
              "orderTimeoutMillis",
              "ms",
              10,
              MAX_MILLIS,
              2_000,
              "time limit for a control call to a backend server"),
          FieldSpec.integer(
              "drainMillis",
              "ms",
              0,
              MAX_MILLIS,
              60_000,
              "longest wait for requests in flight at a graceful shutdown"),
          FieldSpec.optionalText("peerCertificateFile", "", "PEM certificate chain; empty: no TLS"),
          FieldSpec.optionalText("peerKeyFile", "", "PEM private key"),
          FieldSpec.optionalText(
              "peerTrustFile",
              "",
              "PEM certificates of the authority that signs all nodes' certificates"));

  private SettingsSchema() {}
}
