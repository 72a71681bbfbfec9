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
import io.nutmegseam.node.caller.Refusals;
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

/** The interface for operators. */
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
   * @param token secret of the operators; empty for none
   * @param writer writes records
   * @param catalog returns the records in force
   * @param queries asks the node for its state
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

  /** An operator call. */
  @FunctionalInterface
  private interface Operation {
    Object run(Context context) throws RequestException;
  }

  /** Adds the routes. */
  public void routes(Jooby app) {
    app.get("/healthz", context -> text(context, 200, "ok\n"));
    app.get(
        "/readyz",
        context -> queries.isReady() ? text(context, 200, "ready\n") : text(context, 503, "no\n"));
    app.get("/metrics", context -> text(context, 200, metrics.text()));
    app.get("/v1/revision", guarded(context -> queries.revision()));
    app.get("/v1/status", guarded(context -> queries.status()));
    app.get("/v1/placements", guarded(context -> queries.placements()));
    app.get("/v1/heap", guarded(context -> Reports.Heap.afterCollection()));
    app.get("/v1/timeline", guarded(context -> timeline()));
    app.get("/v1/history", guarded(context -> queries.history()));
    app.get("/v1/records", guarded(context -> records(context.query("kind").valueOrNull())));
    app.get("/v1/records/{kind}/{name}", guarded(this::record));
    app.post("/v1/records", guarded(this::apply));
    app.delete("/v1/records/{kind}/{name}", guarded(this::delete));
    app.post("/v1/drain/{name}", guarded(this::drain));
  }

  private io.jooby.Route.Handler guarded(Operation operation) {
    return context -> {
      try {
        authenticate(context);
        return json(context, 200, operation.run(context));
      } catch (RequestException e) {
        context.setResponseCode(e.kind().httpStatus());
        context.setResponseHeader("Content-Type", "application/json");
        return context.send(Refusals.body(e));
      }
    };
  }

  private void authenticate(Context context) throws RequestException {
    String given = context.header("Authorization").value("").replaceFirst("^Bearer ", "");
    if (!token.isEmpty() && !Secrets.same(token, given)) {
      throw new RequestException(ErrorKind.UNAUTHENTICATED, "the operator token is wrong");
    }
  }

  private Object apply(Context context) throws RequestException {
    long revision = writer.apply(request(context), context.body().value());
    return new Reports.Changed(revision);
  }

  private Object delete(Context context) throws RequestException {
    long revision = writer.delete(request(context), kind(context), name(context));
    return new Reports.Changed(revision);
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
    String text = BackendServerText.withDraining(server, draining);
    return new Reports.Changed(writer.apply(request(context), text));
  }

  private RecordWriter.Request request(Context context) throws RequestException {
    String changeId = context.header("X-Change-Id").value(UUID.randomUUID().toString());
    String operator = context.header("X-Operator").value("operator");
    String ifRevision = context.header("X-If-Revision").value("");
    try {
      OptionalLong seen =
          ifRevision.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(ifRevision));
      return new RecordWriter.Request(changeId, operator, seen);
    } catch (NumberFormatException e) {
      throw new RequestException(
          ErrorKind.HEADER_OUT_OF_RANGE, "X-If-Revision is \"" + ifRevision + "\", not a number");
    }
  }

  private Object records(String kindWord) {
    List<Reports.StoredRecord> stored = new ArrayList<>();
    for (RecordChange change : catalog.get().changesAfter(0)) {
      boolean wanted = kindWord == null || change.kind().wireName().equals(kindWord);
      if (wanted && change.text().isPresent()) {
        stored.add(stored(change));
      }
    }
    stored.sort(
        Comparator.comparing(Reports.StoredRecord::kind).thenComparing(Reports.StoredRecord::name));
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
                    ErrorKind.UNKNOWN_RECORD, "no record \"%s\"".formatted(name(context))));
  }

  private static Reports.StoredRecord stored(RecordChange change) {
    return new Reports.StoredRecord(
        change.kind().wireName(), change.name(), change.revision(), change.text().orElse(""));
  }

  private Object timeline() {
    return log.recent().stream().map(EventLog::line).toList();
  }

  private static RecordKind kind(Context context) throws RequestException {
    String word = context.path("kind").value();
    return RecordKind.fromWireName(word)
        .orElseThrow(
            () -> new RequestException(ErrorKind.UNKNOWN_RECORD, "no kind \"" + word + "\""));
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
      throw new IllegalStateException("answer cannot be encoded: " + value, e);
    }
  }

  private static Context text(Context context, int status, String text) {
    context.setResponseCode(status);
    context.setResponseHeader("Content-Type", "text/plain; charset=utf-8");
    return context.send(text);
  }
}
