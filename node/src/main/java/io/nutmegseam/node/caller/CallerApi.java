package io.nutmegseam.node.caller;

import io.jooby.Context;
import io.jooby.Jooby;
import io.nutmegseam.core.config.AdapterRecord;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.config.ModelRecord;
import io.nutmegseam.core.config.OperatorRecord;
import io.nutmegseam.core.error.RequestException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.UUID;
import java.util.function.Supplier;
import okio.ByteString;

/** HTTP interface for callers: completions, the model list and plain services. */
public final class CallerApi {
  private final RequestAcceptor acceptor;
  private final RequestParser parser;
  private final Filter filters;
  private final Supplier<Catalog> catalog;
  private final String node;

  /**
   * Creates the interface.
   *
   * @param node name of this node; request ids begin with it
   * @param acceptor accepts requests and sends error responses
   * @param parser authenticates callers and parses requests
   * @param filters the chain of filters that runs a parsed request
   * @param catalog returns the active records
   */
  public CallerApi(
      String node,
      RequestAcceptor acceptor,
      RequestParser parser,
      Filter filters,
      Supplier<Catalog> catalog) {
    this.node = node;
    this.acceptor = acceptor;
    this.parser = parser;
    this.filters = filters;
    this.catalog = catalog;
  }

  /** Registers the routes of this interface. */
  public void registerRoutes(Jooby app) {
    app.post("/v1/chat/completions", this::serve);
    app.post("/v1/completions", this::serve);
    app.get("/v1/models", this::models);
    app.get("/v1/services/*", this::serve);
    app.post("/v1/services/*", this::serve);
    app.put("/v1/services/*", this::serve);
    app.delete("/v1/services/*", this::serve);
  }

  private Context serve(Context context) {
    acceptor.onRequestReceived();
    context.onComplete(done -> acceptor.onResponseCompleted());
    JoobyResponseSink sink = new JoobyResponseSink(context);
    String id = newId();
    acceptor.accept(
        id,
        sink,
        () -> {
          CallerRequest request = parser.parse(id, rawRequest(context));
          filters.apply(
              request,
              sink,
              (last, lastSink) -> {
                throw new IllegalStateException("the last filter must not call the next one");
              });
        });
    return context;
  }

  private Context models(Context context) {
    JoobyResponseSink sink = new JoobyResponseSink(context);
    acceptor.accept(newId(), sink, () -> listModels(context, sink));
    return context;
  }

  private void listModels(Context context, JoobyResponseSink sink) throws RequestException {
    parser.authenticate(rawRequest(context));
    TreeSet<String> names = new TreeSet<>();
    for (OperatorRecord record : catalog.get().records()) {
      if (record instanceof ModelRecord || record instanceof AdapterRecord) {
        names.add(record.name());
      }
    }
    StringBuilder json = new StringBuilder("{\"object\":\"list\",\"data\":[");
    String separator = "";
    for (String name : names) {
      json.append(separator).append(modelEntry(name));
      separator = ",";
    }
    json.append("]}");
    sink.sendResponse(200, "application/json", ByteString.encodeUtf8(json.toString()), Map.of());
  }

  private static String modelEntry(String name) {
    String quoted = com.fasterxml.jackson.databind.node.TextNode.valueOf(name).toString();
    return "{\"id\":%s,\"object\":\"model\",\"owned_by\":\"nutmegseam\"}".formatted(quoted);
  }

  private String newId() {
    return node + "-" + UUID.randomUUID();
  }

  private static RawRequest rawRequest(Context context) {
    String query = context.queryString();
    return new RawRequest(
        context.getMethod(),
        context.getRequestPath(),
        query == null || query.isEmpty() ? "" : query.replaceFirst("^\\?", ""),
        name -> Optional.ofNullable(context.header(name).valueOrNull()),
        ByteString.of(context.body().bytes()));
  }
}
