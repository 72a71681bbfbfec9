package io.nutmegseam.node.settings;

import io.nutmegseam.core.json.JsonReader;
import io.nutmegseam.core.json.JsonValue;
import io.nutmegseam.core.json.TypedObject;
import io.nutmegseam.core.json.ValidationError;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Parses settings files of nodes. */
public final class SettingsParser {
  private SettingsParser() {}

  /**
   * Parses and checks settings.
   *
   * @param text JSON with comments
   * @param errors receives every error found
   * @return the settings, or empty if an error was found
   */
  public static Optional<NodeSettings> parse(String text, List<ValidationError> errors) {
    Optional<JsonValue> document = JsonReader.read(text, errors);
    if (document.isEmpty()) {
      return Optional.empty();
    }
    TypedObject fields = SettingsSchema.SCHEMA.validate(document.get(), errors);
    if (!errors.isEmpty()) {
      return Optional.empty();
    }
    NodeSettings settings = toSettings(document.get(), fields, errors);
    checkTiming(document.get(), settings.timing(), errors);
    return errors.isEmpty() ? Optional.of(settings) : Optional.empty();
  }

  private static NodeSettings toSettings(
      JsonValue root, TypedObject fields, List<ValidationError> errors) {
    List<HostPort> seeds = new ArrayList<>();
    for (String seed : fields.texts("peerSeeds")) {
      seeds.add(parseAddress(root, "peerSeeds", seed, errors));
    }
    return new NodeSettings(
        fields.text("node"),
        fields.text("vm"),
        fields.text("dataCentre"),
        parseAddress(root, "callerAddress", fields.text("callerAddress"), errors),
        parseAddress(root, "operatorAddress", fields.text("operatorAddress"), errors),
        parseAddress(root, "peerAddress", fields.text("peerAddress"), errors),
        parseAdvertisedAddress(root, fields, errors),
        fields.text("platformAddress"),
        List.copyOf(seeds),
        fields.text("clusterToken"),
        fields.text("operatorToken"),
        fields.objects("callers").stream()
            .map(c -> new NodeSettings.CallerKey(c.text("name"), c.text("key")))
            .toList(),
        toLimits(fields),
        toTiming(fields),
        new NodeSettings.PeerTls(
            fields.text("peerCertificateFile"),
            fields.text("peerKeyFile"),
            fields.text("peerTrustFile")));
  }

  private static NodeSettings.Limits toLimits(TypedObject fields) {
    return new NodeSettings.Limits(
        fields.smallInteger("bodyBytes"),
        fields.smallInteger("storedAnswerBytes"),
        fields.smallInteger("frameBytes"),
        fields.smallInteger("workerThreads"),
        fields.smallInteger("timelineEvents"));
  }

  private static NodeSettings.Timing toTiming(TypedObject fields) {
    return new NodeSettings.Timing(
        fields.integer("leaseMillis"),
        fields.integer("renewMillis"),
        fields.integer("pollMillis"),
        fields.integer("heartbeatMillis"),
        fields.integer("tickMillis"),
        fields.integer("reportMillis"),
        fields.integer("settleMillis"),
        fields.integer("platformTimeoutMillis"),
        fields.integer("orderTimeoutMillis"),
        fields.integer("drainMillis"));
  }

  private static HostPort parseAddress(
      JsonValue root, String key, String text, List<ValidationError> errors) {
    Optional<HostPort> address = HostPort.parse(text);
    if (address.isEmpty()) {
      addError(root, key, "\"%s\" is \"%s\", not host:port".formatted(key, text), errors);
    }
    return address.orElse(new HostPort("", 1));
  }

  private static HostPort parseAdvertisedAddress(
      JsonValue root, TypedObject fields, List<ValidationError> errors) {
    boolean isSet = !fields.text("peerAdvertisedAddress").isEmpty();
    String key = isSet ? "peerAdvertisedAddress" : "peerAddress";
    // An error in "peerAddress" itself is already reported.
    return parseAddress(root, key, fields.text(key), isSet ? errors : new ArrayList<>());
  }

  private static void checkTiming(
      JsonValue root, NodeSettings.Timing timing, List<ValidationError> errors) {
    if (timing.renewMillis() * 2 > timing.leaseMillis()) {
      String message =
          "\"renewMillis\" is %d, more than half of \"leaseMillis\" %d"
              .formatted(timing.renewMillis(), timing.leaseMillis());
      addError(root, "renewMillis", message, errors);
    }
    if (timing.orderTimeoutMillis() > timing.settleMillis()) {
      String message =
          "\"orderTimeoutMillis\" is %d, more than \"settleMillis\" %d"
              .formatted(timing.orderTimeoutMillis(), timing.settleMillis());
      addError(root, "orderTimeoutMillis", message, errors);
    }
  }

  private static void addError(
      JsonValue root, String key, String message, List<ValidationError> errors) {
    JsonValue at = root.fields().getOrDefault(key, root);
    errors.add(new ValidationError(at.line(), at.column(), message));
  }
}
