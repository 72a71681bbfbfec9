package io.nutmegseam.node.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.config.PolicyRecord;
import io.nutmegseam.core.config.ServiceRecord;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.placement.PlacementRules;
import io.nutmegseam.node.settings.NodeSettings;
import java.time.Clock;
import java.util.Optional;
import java.util.function.Supplier;
import okio.ByteString;

/** Reads headers and body into a {@link Call}. */
public final class IdentifyFilter {
  private static final ObjectMapper JSON =
      JsonMapper.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
  private static final String SERVICES = "/v1/services/";
  private static final String ANONYMOUS = "anonymous";
  private static final long MAX_DEADLINE_MILLIS = 86_400_000;
  private static final int MAX_KEY_CHARACTERS = 128;
  private static final int DEFAULT_ANSWER_TOKENS = 64;
  private static final int MAX_ANSWER_TOKENS = 1_000_000;
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int PREFIX_CHARACTERS = 64;

  private final NodeSettings settings;
  private final Supplier<Catalog> catalog;
  private final Clock monotonic;

  /**
   * Creates the filter.
   *
   * @param settings the node's settings
   * @param catalog returns the records in force
   * @param monotonic monotonic clock
   */
  public IdentifyFilter(NodeSettings settings, Supplier<Catalog> catalog, Clock monotonic) {
    this.settings = settings;
    this.catalog = catalog;
    this.monotonic = monotonic;
  }

  /** Returns the name of the caller. */
  public String caller(RawRequest raw) throws RequestException {
    if (settings.callers().isEmpty()) {
      return ANONYMOUS;
    }
    String key = raw.headers().apply("Authorization").orElse("").replaceFirst("^Bearer ", "");
    return settings.callers().stream()
        .filter(caller -> Secrets.same(caller.key(), key))
        .map(NodeSettings.CallerKey::name)
        .findFirst()
        .orElseThrow(
            () -> new RequestException(ErrorKind.UNAUTHENTICATED, "no caller has the given key"));
  }

  /**
   * Identifies a request.
   *
   * @param id names the request
   * @param raw the request as it came in
   * @return the identified request
   * @throws RequestException if it is not a valid request
   */
  public Call identify(String id, RawRequest raw) throws RequestException {
    String caller = caller(raw);
    checkContentType(raw);
    if (raw.body().size() > settings.limits().bodyBytes()) {
      throw new RequestException(
          ErrorKind.BODY_TOO_LARGE,
          "body has %d bytes, the limit is %d"
              .formatted(raw.body().size(), settings.limits().bodyBytes()));
    }
    return raw.path().startsWith(SERVICES) ? service(id, caller, raw) : completion(id, caller, raw);
  }

  /** Form bodies are decoded by the HTTP server and cannot be passed on byte by byte. */
  private static void checkContentType(RawRequest raw) throws RequestException {
    String type = raw.headers().apply("Content-Type").orElse("");
    if (type.startsWith("application/x-www-form-urlencoded") || type.startsWith("multipart/")) {
      throw new RequestException(
          ErrorKind.BAD_REQUEST, "content type \"%s\" is not taken, send JSON".formatted(type));
    }
  }

  private Call completion(String id, String caller, RawRequest raw) throws RequestException {
    ObjectNode body = parse(raw.body());
    String unit = body.path("model").asText("");
    if (PlacementRules.baseModel(unit, catalog.get()).isEmpty()) {
      throw new RequestException(
          ErrorKind.UNKNOWN_MODEL, "no model or adapter \"%s\" is declared".formatted(unit));
    }
    boolean chat = raw.path().endsWith("/chat/completions");
    boolean stream = body.path("stream").asBoolean(false);
    String prompt = prompt(body, chat);
    int answerTokens = answerTokens(body);
    body.put("stream", true);
    body.put("max_tokens", answerTokens);
    boolean interactive = interactive(raw);
    ByteString engineBody = ByteString.encodeUtf8(body.toString());
    int prefixEnd = Math.min(PREFIX_CHARACTERS, prompt.length());
    return new Call(
        id,
        caller,
        chat ? Call.Kind.CHAT : Call.Kind.TEXT,
        unit,
        raw.method(),
        raw.path(),
        "application/json",
        engineBody,
        fingerprint(raw.method(), raw.path(), engineBody),
        new Call.Size(
            prompt.length() / CHARACTERS_PER_TOKEN,
            answerTokens,
            prompt.substring(0, prefixEnd).hashCode()),
        stream,
        interactive,
        true,
        key(raw),
        deadline(raw, interactive),
        Optional.empty(),
        0);
  }

  private Call service(String id, String caller, RawRequest raw) throws RequestException {
    String rest = raw.path().substring(SERVICES.length());
    int slash = rest.indexOf('/');
    String name = slash < 0 ? rest : rest.substring(0, slash);
    String path = slash < 0 ? "/" : rest.substring(slash);
    ServiceRecord.Call declared =
        catalog
            .get()
            .service(name)
            .flatMap(service -> service.callFor(path))
            .orElseThrow(
                () ->
                    new RequestException(
                        ErrorKind.UNKNOWN_SERVICE,
                        "no service \"%s\" takes %s".formatted(name, path)));
    Optional<String> key = key(raw);
    if (!declared.idempotent() && key.isEmpty()) {
      throw new RequestException(
          ErrorKind.MISSING_IDEMPOTENCY_KEY,
          "%s of \"%s\" may not be repeated and needs an Idempotency-Key".formatted(path, name));
    }
    boolean interactive = interactive(raw);
    long latest = monotonic.millis() + declared.timeoutMillis();
    String target = raw.query().isEmpty() ? path : path + "?" + raw.query();
    return new Call(
        id,
        caller,
        Call.Kind.SERVICE,
        name,
        raw.method(),
        target,
        raw.headers().apply("Content-Type").orElse("application/octet-stream"),
        raw.body(),
        fingerprint(raw.method(), target, raw.body()),
        Call.Size.none(),
        false,
        interactive,
        declared.idempotent(),
        key,
        Math.min(latest, deadline(raw, interactive)),
        Optional.empty(),
        0);
  }

  private static ObjectNode parse(ByteString body) throws RequestException {
    try {
      JsonNode node = JSON.readTree(body.utf8());
      if (node instanceof ObjectNode object) {
        return object;
      }
      throw new RequestException(ErrorKind.BAD_REQUEST, "the body is not a JSON object");
    } catch (JsonProcessingException e) {
      throw new RequestException(
          ErrorKind.BAD_REQUEST, "the body is not JSON: " + e.getOriginalMessage());
    }
  }

  private static String prompt(ObjectNode body, boolean chat) throws RequestException {
    JsonNode given = body.path(chat ? "messages" : "prompt");
    boolean usable = chat ? given.isArray() && !given.isEmpty() : given.isTextual();
    if (!usable) {
      throw new RequestException(
          ErrorKind.BAD_REQUEST,
          chat ? "\"messages\" must be a filled array" : "\"prompt\" must be a string");
    }
    return chat ? given.findValuesAsText("content").toString() : given.asText();
  }

  private static int answerTokens(ObjectNode body) throws RequestException {
    JsonNode given = body.path("max_tokens");
    if (given.isMissingNode()) {
      return DEFAULT_ANSWER_TOKENS;
    }
    boolean valid = given.isInt() && given.asInt() >= 1 && given.asInt() <= MAX_ANSWER_TOKENS;
    if (!valid) {
      throw new RequestException(
          ErrorKind.BAD_REQUEST,
          "\"max_tokens\" is %s, outside 1 to %d".formatted(given, MAX_ANSWER_TOKENS));
    }
    return given.asInt();
  }

  private static boolean interactive(RawRequest raw) throws RequestException {
    String priority = raw.headers().apply("X-Priority").orElse("interactive");
    if (!priority.equals("interactive") && !priority.equals("batch")) {
      throw new RequestException(
          ErrorKind.HEADER_OUT_OF_RANGE,
          "X-Priority is \"%s\", not interactive or batch".formatted(priority));
    }
    return priority.equals("interactive");
  }

  private long deadline(RawRequest raw, boolean interactive) throws RequestException {
    PolicyRecord policy = catalog.get().policy();
    long defaultMillis =
        interactive ? policy.interactiveDeadlineMillis() : policy.batchDeadlineMillis();
    Optional<String> given = raw.headers().apply("X-Deadline-Millis");
    long remainingMillis = given.isEmpty() ? defaultMillis : parseMillis(given.get());
    if (remainingMillis < 1 || remainingMillis > MAX_DEADLINE_MILLIS) {
      throw new RequestException(
          ErrorKind.HEADER_OUT_OF_RANGE,
          "X-Deadline-Millis is \"%s\", outside 1 to %d"
              .formatted(given.orElse(""), MAX_DEADLINE_MILLIS));
    }
    return monotonic.millis() + remainingMillis;
  }

  private static long parseMillis(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private static Optional<String> key(RawRequest raw) throws RequestException {
    Optional<String> key = raw.headers().apply("Idempotency-Key");
    boolean usable = key.isEmpty() || key.get().matches("[\\x21-\\x7e]+");
    if (!usable || key.orElse("").length() > MAX_KEY_CHARACTERS) {
      throw new RequestException(
          ErrorKind.HEADER_OUT_OF_RANGE,
          "Idempotency-Key must be 1 to %d visible characters".formatted(MAX_KEY_CHARACTERS));
    }
    return key;
  }

  private static String fingerprint(String method, String path, ByteString body) {
    return ByteString.encodeUtf8(method + " " + path + "\n" + body.sha256().hex()).sha256().hex();
  }
}
