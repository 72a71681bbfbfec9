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

/** The interface for callers: completions, the model list and plain services. */
public final class CallerApi {
  private final AcceptFilter accept;
  private final IdentifyFilter identify;
  private final Filter path;
  private final Supplier<Catalog> catalog;
  private final String node;

  /**
   * Creates the interface.
   *
   * @param node name of this node, part of request ids
   * @param accept first filter
   * @param identify second filter
   * @param path the further filters, joined
   * @param catalog returns the records in force
   */
  public CallerApi(
      String node,
      AcceptFilter accept,
      IdentifyFilter identify,
      Filter path,
      Supplier<Catalog> catalog) {
    this.node = node;
    this.accept = accept;
    this.identify = identify;
    this.path = path;
    this.catalog = catalog;
  }

  /** Adds the routes. */
  public void routes(Jooby app) {
    app.post("/v1/chat/completions", this::serve);
    app.post("/v1/completions", this::serve);
    app.get("/v1/models", this::models);
    app.get("/v1/services/*", this::serve);
    app.post("/v1/services/*", this::serve);
    app.put("/v1/services/*", this::serve);
    app.delete("/v1/services/*", this::serve);
  }

  private Context serve(Context context) {
    accept.onBegin();
    context.onComplete(done -> accept.onSent());
    JoobySink sink = new JoobySink(context);
    String id = newId();
    accept.accept(
        id,
        sink,
        () -> {
          Call call = identify.identify(id, raw(context));
          path.apply(
              call,
              sink,
              end -> {
                throw new IllegalStateException("the path has no end");
              });
        });
    return context;
  }

  private Context models(Context context) {
    JoobySink sink = new JoobySink(context);
    accept.accept(newId(), sink, () -> listModels(context, sink));
    return context;
  }

  private void listModels(Context context, JoobySink sink) throws RequestException {
    identify.caller(raw(context));
    TreeSet<String> names = new TreeSet<>();
    for (OperatorRecord record : catalog.get().records()) {
      if (record instanceof ModelRecord || record instanceof AdapterRecord) {
        names.add(record.name());
      }
    }
    StringBuilder json = new StringBuilder("{\"object\":\"list\",\"data\":[");
    String separator = "";
    for (String name : names) {
      json.append(separator).append(entry(name));
      separator = ",";
    }
    json.append("]}");
    sink.whole(200, "application/json", ByteString.encodeUtf8(json.toString()), Map.of());
  }

  private static String entry(String name) {
    String quoted = com.fasterxml.jackson.databind.node.TextNode.valueOf(name).toString();
    return "{\"id\":%s,\"object\":\"model\",\"owned_by\":\"nutmegseam\"}".formatted(quoted);
  }

  private String newId() {
    return node + "-" + UUID.randomUUID();
  }

  private static RawRequest raw(Context context) {
    String query = context.queryString();
    return new RawRequest(
        context.getMethod(),
        context.getRequestPath(),
        query == null || query.isEmpty() ? "" : query.replaceFirst("^\\?", ""),
        name -> Optional.ofNullable(context.header(name).valueOrNull()),
        ByteString.of(context.body().bytes()));
  }
}
