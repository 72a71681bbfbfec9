package io.nutmegseam.node.gateway;

import io.nutmegseam.core.allotment.AllotmentRules;
import io.nutmegseam.core.json.FieldSpec;
import io.nutmegseam.core.json.JsonReader;
import io.nutmegseam.core.json.JsonValue;
import io.nutmegseam.core.json.ObjectSchema;
import io.nutmegseam.core.json.TypedObject;
import io.nutmegseam.core.json.ValidationError;
import io.nutmegseam.core.tenant.RevocationRule;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.settings.HostPort;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a gateway node.
 *
 * @param node name of the node
 * @param dataCentre data centre of the node
 * @param callerAddress listening address for callers
 * @param readyAddress listening address for readiness checks
 * @param peerAddress listening address for other nodes
 * @param peerRequestAddress listening address for requests that other nodes cannot send to a
 *     server; empty to accept none
 * @param metricsAddress listening address for scrapes of metrics
 * @param storeAddress address of the platform's store
 * @param graceMillis time from the request to stop until the process is killed, in milliseconds
 * @param orderQuietMillis minimum time between orders of two nodes, in milliseconds
 * @param retryRatio retries allowed for each new request to a service
 * @param retrySlack additional retries allowed in a window, over all nodes
 * @param retryWindowMillis window of the retry limit, in milliseconds
 * @param loadWindowMillis window of the limit on loads from the weight store, in milliseconds
 * @param parallelLoads maximum number of loads that the weight store serves in parallel at full
 *     speed
 * @param processorPower processing power of the VM, in cores of reference speed
 * @param revocation rule by which keys are admitted; empty if revocation is not strict
 * @param allotmentRules how closely the allotments of tenants must be kept over all nodes
 * @param longPromptSpread whether a server gets at most one long prompt at a time while others are
 *     free
 */
public record GatewaySettings(
    String node,
    String dataCentre,
    HostPort callerAddress,
    HostPort readyAddress,
    HostPort peerAddress,
    Optional<HostPort> peerRequestAddress,
    HostPort metricsAddress,
    HostPort storeAddress,
    long graceMillis,
    long orderQuietMillis,
    double retryRatio,
    double retrySlack,
    long retryWindowMillis,
    long loadWindowMillis,
    int parallelLoads,
    double processorPower,
    Optional<RevocationRule> revocation,
    AllotmentRules allotmentRules,
    boolean longPromptSpread) {
  private static final long MAX_MILLIS = 3_600_000L;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final double MAX_NUMBER = 1e6;
  private static final long MAX_SECONDS = 3_600;
  private static final long MAX_SLACK_UNITS = 1_000_000_000L;

  /** Below this, the age of the configuration exceeds its bound between two reads of the store. */
  private static final long MIN_REVOCATION_MILLIS = 2_000;

  /** Schema of a settings file. */
  public static final ObjectSchema SCHEMA =
      ObjectSchema.of(
          FieldSpec.text("node", "name of the node, unique across all data centres"),
          FieldSpec.text("dataCentre", "data centre of the node"),
          FieldSpec.text("callerAddress", "IP address and port for callers"),
          FieldSpec.text("readyAddress", "IP address and port for readiness checks"),
          FieldSpec.text("peerAddress", "IP address and port for other nodes"),
          FieldSpec.optionalText(
              "peerRequestAddress",
              "",
              "IP address and port for requests of callers that other nodes cannot send to a server;"
                  + " by default the port after that of peerAddress, or none if that is taken"),
          FieldSpec.text("metricsAddress", "IP address and port for scrapes of metrics"),
          FieldSpec.text("storeAddress", "IP address and port of the platform's store"),
          FieldSpec.integer(
              "graceSeconds",
              "s",
              1,
              MAX_SECONDS,
              8,
              "time from the request to stop until the process is killed"),
          FieldSpec.integer(
              "orderQuietMillis",
              "ms",
              0,
              MAX_MILLIS,
              3_000,
              "minimum time between orders of two nodes"),
          FieldSpec.number(
              "retryRatio", "-", 0, 1, 0.2, "retries allowed for each new request to a service"),
          FieldSpec.number(
              "retrySlack",
              "-",
              0,
              MAX_NUMBER,
              50,
              "additional retries allowed in a window, over all nodes"),
          FieldSpec.integer(
              "retryWindowSeconds", "s", 1, MAX_SECONDS, 10, "window of the retry limit"),
          FieldSpec.integer(
              "loadWindowSeconds",
              "s",
              1,
              MAX_SECONDS,
              5,
              "window of the limit on loads from the weight store"),
          FieldSpec.integer(
              "parallelLoads",
              "-",
              1,
              1_000,
              4,
              "maximum number of parallel loads from the weight store"),
          FieldSpec.number(
              "processorShare",
              "cores",
              0,
              MAX_NUMBER,
              1,
              "processor cores of the VM; may be a fraction"),
          FieldSpec.number(
              "processorSpeed",
              "-",
              0,
              MAX_NUMBER,
              1,
              "speed of these cores relative to a reference core"),
          FieldSpec.flag(
              "strictRevocation",
              false,
              "whether requests with a key are refused while the node cannot prove that the key has"
                  + " not been revoked"),
          FieldSpec.integer(
              "revocationMillis",
              "ms",
              MIN_REVOCATION_MILLIS,
              MAX_MILLIS,
              5_000,
              "time after which a revoked key is accepted nowhere, if strictRevocation is set"),
          FieldSpec.integer(
              "allotmentWindowSeconds",
              "s",
              1,
              MAX_SECONDS,
              8,
              "window in which the allotments of tenants are kept"),
          FieldSpec.number(
              "allotmentOvershoot",
              "-",
              0,
              1,
              0.1,
              "part by which the use in a window may exceed an allotment"),
          FieldSpec.integer(
              "allotmentSlack",
              "-",
              0,
              MAX_SLACK_UNITS,
              110_000,
              "units by which the use in a window may exceed an allotment in addition"),
          FieldSpec.flag(
              "longPromptSpread",
              true,
              "whether a server gets at most one long prompt at a time while others are free"));

  /**
   * Parses the text of a settings file.
   *
   * @param text JSON with comments
   * @param errors receives every error found
   * @return the settings, or empty if an error was found
   */
  public static Optional<GatewaySettings> parse(String text, List<ValidationError> errors) {
    Optional<JsonValue> document = JsonReader.read(text, errors);
    if (document.isEmpty()) {
      return Optional.empty();
    }
    TypedObject fields = SCHEMA.validate(document.get(), errors);
    if (!errors.isEmpty()) {
      return Optional.empty();
    }
    Reader reader = new Reader(document.get(), fields, errors);
    GatewaySettings settings =
        new GatewaySettings(
            fields.text("node"),
            fields.text("dataCentre"),
            reader.address("callerAddress"),
            reader.address("readyAddress"),
            reader.address("peerAddress"),
            reader.peerRequestAddress(),
            reader.address("metricsAddress"),
            reader.address("storeAddress"),
            fields.integer("graceSeconds") * MILLIS_PER_SECOND,
            fields.integer("orderQuietMillis"),
            fields.number("retryRatio"),
            fields.number("retrySlack"),
            fields.integer("retryWindowSeconds") * MILLIS_PER_SECOND,
            fields.integer("loadWindowSeconds") * MILLIS_PER_SECOND,
            fields.smallInteger("parallelLoads"),
            fields.number("processorShare") * fields.number("processorSpeed"),
            fields.flag("strictRevocation")
                ? Optional.of(new RevocationRule(fields.integer("revocationMillis")))
                : Optional.empty(),
            new AllotmentRules(
                fields.integer("allotmentWindowSeconds"),
                fields.number("allotmentOvershoot"),
                fields.integer("allotmentSlack")),
            fields.flag("longPromptSpread"));
    return errors.isEmpty() ? Optional.of(settings) : Optional.empty();
  }

  /** Returns how this node is listed in the node directory. */
  NodeRecord nodeRecord() {
    return new NodeRecord(node, dataCentre, peerAddress, processorPower, peerRequestAddress);
  }

  private record Reader(JsonValue root, TypedObject fields, List<ValidationError> errors) {
    Optional<HostPort> peerRequestAddress() {
      if (!fields.text("peerRequestAddress").isEmpty()) {
        return Optional.of(address("peerRequestAddress"));
      }
      HostPort peers = address("peerAddress");
      HostPort next = new HostPort(peers.host(), peers.port() + 1);
      boolean free =
          HostPort.parse(next.toString()).isPresent() && !next.equals(address("metricsAddress"));
      return free ? Optional.of(next) : Optional.empty();
    }

    HostPort address(String key) {
      Optional<HostPort> address = HostPort.parse(fields.text(key));
      if (address.isEmpty()) {
        JsonValue value = root.fields().getOrDefault(key, root);
        String message = "\"%s\" is \"%s\", not host:port".formatted(key, fields.text(key));
        errors.add(new ValidationError(value.line(), value.column(), message));
      }
      return address.orElse(new HostPort("", 1));
    }
  }
}
