package io.nutmegseam.node.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import io.jooby.Jooby;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.config.RecordChange;
import io.nutmegseam.core.config.RecordKind;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.node.caller.RequestErrors;
import io.nutmegseam.node.caller.Secrets;
import io.nutmegseam.node.log.EventLog;
import io.nutmegseam.node.metrics.NodeMetrics;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.function.Supplier;

/** HTTP interface for operators. */
public final class OperatorApi {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String token;
  private final RecordWriter writer;
  private final Supplier<Catalog> catalog;
  private final NodeQueries queries;
  private final EventLog log;
  private final NodeMetrics metrics;

  /**
   * Creates the interface.
   *
   * @param token secret of the operators; empty to accept requests without one
   * @param writer writes records
   * @param catalog returns the active records
   * @param queries reads the state of the node
   * @param log event log
   * @param metrics the node's metrics
   */
  public OperatorApi(
      String token,
      RecordWriter writer,
      Supplier<Catalog> catalog,
      NodeQueries queries,
      EventLog log,
      NodeMetrics metrics) {
    this.token = token;
    this.writer = writer;
    this.catalog = catalog;
    this.queries = queries;
    this.log = log;
    this.metrics = metrics;
  }

  /** Runs one operator request; its result is sent as JSON. */
  @FunctionalInterface
  private interface Operation {
    Object run(Context context) throws RequestException;
  }

  /** Registers the routes of this interface. */
  public void registerRoutes(Jooby app) {
    app.get("/healthz", context -> text(context, 200, "ok\n"));
    app.get(
        "/readyz",
        context -> queries.isReady() ? text(context, 200, "ready\n") : text(context, 503, "no\n"));
    app.get("/metrics", context -> text(context, 200, metrics.scrape()));
    app.get("/v1/revision", authenticated(context -> queries.revision()));
    app.get("/v1/status", authenticated(context -> queries.status()));
    app.get("/v1/placements", authenticated(context -> queries.placements()));
    app.get(
        "/v1/heap", authenticated(context -> OperatorResponses.HeapUsage.measureAfterCollection()));
    app.get("/v1/timeline", authenticated(context -> timeline()));
    app.get("/v1/history", authenticated(context -> queries.history()));
    app.get("/v1/records", authenticated(context -> records(context.query("kind").valueOrNull())));
    app.get("/v1/records/{kind}/{name}", authenticated(this::record));
    app.post("/v1/records", authenticated(this::apply));
    app.delete("/v1/records/{kind}/{name}", authenticated(this::delete));
    app.post("/v1/drain/{name}", authenticated(this::drain));
  }

  private io.jooby.Route.Handler authenticated(Operation operation) {
    return context -> {
      try {
        authenticate(context);
        return json(context, 200, operation.run(context));
      } catch (RequestException e) {
        context.setResponseCode(e.kind().httpStatus());
        context.setResponseHeader("Content-Type", "application/json");
        return context.send(RequestErrors.toJson(e));
      }
    };
  }

  private void authenticate(Context context) throws RequestException {
    String sentToken = context.header("Authorization").value("").replaceFirst("^Bearer ", "");
    if (!token.isEmpty() && !Secrets.isEqual(token, sentToken)) {
      throw new RequestException(
          ErrorKind.UNAUTHENTICATED, "the Authorization header does not carry the operator token");
    }
  }

  private Object apply(Context context) throws RequestException {
    long revision = writer.apply(request(context), context.body().value());
    return new OperatorResponses.ChangeResult(revision);
  }

  private Object delete(Context context) throws RequestException {
    long revision = writer.delete(request(context), kind(context), name(context));
    return new OperatorResponses.ChangeResult(revision);
  }

  private Object drain(Context context) throws RequestException {
    BackendServerRecord server =
        catalog
            .get()
            .backendServer(name(context))
            .orElseThrow(
                () ->
                    new RequestException(
                        ErrorKind.UNKNOWN_RECORD,
                        "no BackendServer \"%s\"".formatted(name(context))));
    boolean draining = !context.query("undo").booleanValue(false);
    String text = BackendServerJson.withDraining(server, draining);
    return new OperatorResponses.ChangeResult(writer.apply(request(context), text));
  }

  private RecordWriter.ChangeRequest request(Context context) throws RequestException {
    String changeId = context.header("X-Change-Id").value(UUID.randomUUID().toString());
    String operator = context.header("X-Operator").value("operator");
    String ifRevision = context.header("X-If-Revision").value("");
    try {
      OptionalLong expectedRevision =
          ifRevision.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(ifRevision));
      return new RecordWriter.ChangeRequest(changeId, operator, expectedRevision);
    } catch (NumberFormatException e) {
      throw new RequestException(
          ErrorKind.HEADER_OUT_OF_RANGE, "X-If-Revision is \"" + ifRevision + "\", not a number");
    }
  }

  private Object records(String kindWord) {
    List<OperatorResponses.StoredRecord> stored = new ArrayList<>();
    for (RecordChange change : catalog.get().changesAfter(0)) {
      boolean matches = kindWord == null || change.kind().wireName().equals(kindWord);
      if (matches && change.text().isPresent()) {
        stored.add(stored(change));
      }
    }
    stored.sort(
        Comparator.comparing(OperatorResponses.StoredRecord::kind)
            .thenComparing(OperatorResponses.StoredRecord::name));
    return stored;
  }

  private Object record(Context context) throws RequestException {
    Optional<RecordChange> change =
        catalog.get().lastChange(kind(context), name(context)).filter(c -> c.text().isPresent());
    return change
        .map(OperatorApi::stored)
        .orElseThrow(
            () ->
                new RequestException(
                    ErrorKind.UNKNOWN_RECORD,
                    "no record has the name \"%s\"".formatted(name(context))));
  }

  private static OperatorResponses.StoredRecord stored(RecordChange change) {
    return new OperatorResponses.StoredRecord(
        change.kind().wireName(), change.name(), change.revision(), change.text().orElse(""));
  }

  private Object timeline() {
    return log.recent().stream().map(EventLog::toJson).toList();
  }

  private static RecordKind kind(Context context) throws RequestException {
    String word = context.path("kind").value();
    return RecordKind.fromWireName(word)
        .orElseThrow(
            () ->
                new RequestException(ErrorKind.UNKNOWN_RECORD, "no record kind \"" + word + "\""));
  }

  private static String name(Context context) {
    return context.path("name").value();
  }

  private static Context json(Context context, int status, Object value) {
    try {
      context.setResponseCode(status);
      context.setResponseHeader("Content-Type", "application/json");
      return context.send(JSON.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("response cannot be encoded as JSON: " + value, e);
    }
  }

  private static Context text(Context context, int status, String text) {
    context.setResponseCode(status);
    context.setResponseHeader("Content-Type", "text/plain; charset=utf-8");
    return context.send(text);
  }
}
