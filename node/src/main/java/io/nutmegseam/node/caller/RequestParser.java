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

/** Authenticates callers and parses their HTTP requests into {@link CallerRequest}s. */
public final class RequestParser {
  private static final ObjectMapper JSON =
      JsonMapper.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
  private static final String SERVICES_PREFIX = "/v1/services/";
  private static final String ANONYMOUS_CALLER = "anonymous";
  private static final long MAX_DEADLINE_MILLIS = 86_400_000;
  private static final int MAX_IDEMPOTENCY_KEY_CHARACTERS = 128;
  private static final int DEFAULT_COMPLETION_TOKENS = 64;
  private static final int MAX_COMPLETION_TOKENS = 1_000_000;
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int PREFIX_CHARACTERS = 64;

  private final NodeSettings settings;
  private final Supplier<Catalog> catalog;
  private final Clock monotonic;

  /**
   * Creates the parser.
   *
   * @param settings the node's settings
   * @param catalog returns the active records
   * @param monotonic monotonic clock
   */
  public RequestParser(NodeSettings settings, Supplier<Catalog> catalog, Clock monotonic) {
    this.settings = settings;
    this.catalog = catalog;
    this.monotonic = monotonic;
  }

  /**
   * Returns the name of the caller whose key the request carries, or {@code anonymous} if the
   * settings list no callers.
   *
   * @param raw the HTTP request
   * @throws RequestException if no caller has the key
   */
  public String authenticate(RawRequest raw) throws RequestException {
    if (settings.callers().isEmpty()) {
      return ANONYMOUS_CALLER;
    }
    String key = raw.headers().apply("Authorization").orElse("").replaceFirst("^Bearer ", "");
    return settings.callers().stream()
        .filter(caller -> Secrets.isEqual(caller.key(), key))
        .map(NodeSettings.CallerKey::name)
        .findFirst()
        .orElseThrow(
            () ->
                new RequestException(
                    ErrorKind.UNAUTHENTICATED,
                    "no caller has the key in the Authorization header"));
  }

  /**
   * Authenticates the caller and parses the request.
   *
   * @param id id of the request
   * @param raw the HTTP request
   * @return the parsed request
   * @throws RequestException if the caller is unknown or the request is not valid
   */
  public CallerRequest parse(String id, RawRequest raw) throws RequestException {
    String caller = authenticate(raw);
    checkContentType(raw);
    if (raw.body().size() > settings.limits().bodyBytes()) {
      throw new RequestException(
          ErrorKind.BODY_TOO_LARGE,
          "the body has %d bytes, the limit is %d"
              .formatted(raw.body().size(), settings.limits().bodyBytes()));
    }
    return raw.path().startsWith(SERVICES_PREFIX)
        ? serviceRequest(id, caller, raw)
        : completionRequest(id, caller, raw);
  }

  /** Rejects form bodies: the HTTP server decodes them, so they cannot be forwarded unchanged. */
  private static void checkContentType(RawRequest raw) throws RequestException {
    String type = raw.headers().apply("Content-Type").orElse("");
    if (type.startsWith("application/x-www-form-urlencoded") || type.startsWith("multipart/")) {
      throw new RequestException(
          ErrorKind.BAD_REQUEST, "content type \"%s\" is not accepted, send JSON".formatted(type));
    }
  }

  private CallerRequest completionRequest(String id, String caller, RawRequest raw)
      throws RequestException {
    ObjectNode body = parseBody(raw.body());
    String unit = body.path("model").asText("");
    if (PlacementRules.baseModel(unit, catalog.get()).isEmpty()) {
      throw new RequestException(
          ErrorKind.UNKNOWN_MODEL, "no model or adapter \"%s\" is declared".formatted(unit));
    }
    boolean chat = raw.path().endsWith("/chat/completions");
    boolean stream = body.path("stream").asBoolean(false);
    String prompt = prompt(body, chat);
    int completionTokens = completionTokens(body);
    body.put("stream", true);
    body.put("max_tokens", completionTokens);
    boolean interactive = isInteractive(raw);
    ByteString engineBody = ByteString.encodeUtf8(body.toString());
    int prefixEnd = Math.min(PREFIX_CHARACTERS, prompt.length());
    return new CallerRequest(
        id,
        caller,
        chat ? CallerRequest.Kind.CHAT : CallerRequest.Kind.TEXT,
        unit,
        raw.method(),
        raw.path(),
        "application/json",
        engineBody,
        fingerprint(raw.method(), raw.path(), engineBody),
        new CallerRequest.Size(
            prompt.length() / CHARACTERS_PER_TOKEN,
            completionTokens,
            prompt.substring(0, prefixEnd).hashCode()),
        stream,
        interactive,
        true,
        idempotencyKey(raw),
        deadlineMillis(raw, interactive),
        Optional.empty(),
        0);
  }

  private CallerRequest serviceRequest(String id, String caller, RawRequest raw)
      throws RequestException {
    String rest = raw.path().substring(SERVICES_PREFIX.length());
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
                        "no service \"%s\" accepts the path %s".formatted(name, path)));
    Optional<String> key = idempotencyKey(raw);
    if (!declared.idempotent() && key.isEmpty()) {
      throw new RequestException(
          ErrorKind.MISSING_IDEMPOTENCY_KEY,
          "%s of \"%s\" is not idempotent and requires an Idempotency-Key header"
              .formatted(path, name));
    }
    boolean interactive = isInteractive(raw);
    long latestMillis = monotonic.millis() + declared.timeoutMillis();
    String target = raw.query().isEmpty() ? path : path + "?" + raw.query();
    return new CallerRequest(
        id,
        caller,
        CallerRequest.Kind.SERVICE,
        name,
        raw.method(),
        target,
        raw.headers().apply("Content-Type").orElse("application/octet-stream"),
        raw.body(),
        fingerprint(raw.method(), target, raw.body()),
        CallerRequest.Size.none(),
        false,
        interactive,
        declared.idempotent(),
        key,
        Math.min(latestMillis, deadlineMillis(raw, interactive)),
        Optional.empty(),
        0);
  }

  private static ObjectNode parseBody(ByteString body) throws RequestException {
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
    JsonNode prompt = body.path(chat ? "messages" : "prompt");
    boolean valid = chat ? prompt.isArray() && !prompt.isEmpty() : prompt.isTextual();
    if (!valid) {
      throw new RequestException(
          ErrorKind.BAD_REQUEST,
          chat ? "\"messages\" must be a non-empty array" : "\"prompt\" must be a string");
    }
    return chat ? prompt.findValuesAsText("content").toString() : prompt.asText();
  }

  private static int completionTokens(ObjectNode body) throws RequestException {
    JsonNode maxTokens = body.path("max_tokens");
    if (maxTokens.isMissingNode()) {
      return DEFAULT_COMPLETION_TOKENS;
    }
    boolean valid =
        maxTokens.isInt() && maxTokens.asInt() >= 1 && maxTokens.asInt() <= MAX_COMPLETION_TOKENS;
    if (!valid) {
      throw new RequestException(
          ErrorKind.BAD_REQUEST,
          "\"max_tokens\" is %s, outside 1 to %d".formatted(maxTokens, MAX_COMPLETION_TOKENS));
    }
    return maxTokens.asInt();
  }

  private static boolean isInteractive(RawRequest raw) throws RequestException {
    String priority = raw.headers().apply("X-Priority").orElse("interactive");
    if (!priority.equals("interactive") && !priority.equals("batch")) {
      throw new RequestException(
          ErrorKind.HEADER_OUT_OF_RANGE,
          "X-Priority is \"%s\", not interactive or batch".formatted(priority));
    }
    return priority.equals("interactive");
  }

  private long deadlineMillis(RawRequest raw, boolean interactive) throws RequestException {
    PolicyRecord policy = catalog.get().policy();
    long defaultMillis =
        interactive ? policy.interactiveDeadlineMillis() : policy.batchDeadlineMillis();
    Optional<String> header = raw.headers().apply("X-Deadline-Millis");
    long remainingMillis = header.isEmpty() ? defaultMillis : parseMillis(header.get());
    if (remainingMillis < 1 || remainingMillis > MAX_DEADLINE_MILLIS) {
      throw new RequestException(
          ErrorKind.HEADER_OUT_OF_RANGE,
          "X-Deadline-Millis is \"%s\", outside 1 to %d"
              .formatted(header.orElse(""), MAX_DEADLINE_MILLIS));
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

  private static Optional<String> idempotencyKey(RawRequest raw) throws RequestException {
    Optional<String> key = raw.headers().apply("Idempotency-Key");
    boolean valid = key.isEmpty() || key.get().matches("[\\x21-\\x7e]+");
    if (!valid || key.orElse("").length() > MAX_IDEMPOTENCY_KEY_CHARACTERS) {
      throw new RequestException(
          ErrorKind.HEADER_OUT_OF_RANGE,
          "Idempotency-Key must be 1 to %d visible ASCII characters"
              .formatted(MAX_IDEMPOTENCY_KEY_CHARACTERS));
    }
    return key;
  }

  private static String fingerprint(String method, String path, ByteString body) {
    return ByteString.encodeUtf8(method + " " + path + "\n" + body.sha256().hex()).sha256().hex();
  }
}
