package io.nutmegseam.node.caller;

import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.placement.PlacementRules;
import io.nutmegseam.node.backend.CompletionClient;
import java.time.Clock;
import java.util.function.Supplier;

/**
 * Sends a completion to its backend server and relays the answer. One attempt owns the answer; a
 * lost connection is resumed once at the same server.
 */
public final class CompletionDispatch implements RouteFilter.Dispatch {
  private final CompletionClient client;
  private final Supplier<Catalog> catalog;
  private final Clock monotonic;
  private final EventSink events;

  /**
   * Creates the dispatch.
   *
   * @param client sends completions
   * @param catalog returns the records in force
   * @param monotonic monotonic clock
   * @param events event log
   */
  public CompletionDispatch(
      CompletionClient client, Supplier<Catalog> catalog, Clock monotonic, EventSink events) {
    this.client = client;
    this.catalog = catalog;
    this.monotonic = monotonic;
    this.events = events;
  }

  @Override
  public SentResponse run(CallerRequest call, ResponseSink sink) throws AttemptException {
    BackendServerRecord target = call.target().orElseThrow();
    events.record(EventKind.REQUEST_DISPATCHED, call.id(), target.name());
    CompletionClient.Attempt attempt = attempt(call, target);
    CompletionRelay relay = new CompletionRelay(call, sink);
    try {
      send(call, attempt, relay);
    } catch (BackendException e) {
      client.cancel(attempt);
      if (e.outcome() == BackendException.Outcome.CROSSED) {
        events.record(EventKind.ANSWER_CROSSED, call.id(), e.getMessage());
      }
      throw new AttemptException(e, relay.position());
    }
    if (relay.isCallerDisconnected()) {
      client.cancel(attempt);
      events.record(EventKind.REQUEST_CANCELLED, call.id(), "the caller left");
    }
    relay.finish();
    return new SentResponse(
        target.name(), 200, "text/event-stream", okio.ByteString.EMPTY, relay.position());
  }

  private void send(CallerRequest call, CompletionClient.Attempt attempt, CompletionRelay relay)
      throws BackendException {
    try {
      client.run(attempt, relay);
    } catch (BackendException e) {
      boolean resumable =
          e.outcome() == BackendException.Outcome.CONNECTION_LOST
              && relay.position() > 0
              && remainingMillis(call) > 0;
      if (!resumable) {
        throw e;
      }
      client.resume(withTime(attempt, remainingMillis(call)), relay.position(), relay);
    }
  }

  private CompletionClient.Attempt attempt(CallerRequest call, BackendServerRecord target) {
    String base =
        PlacementRules.baseModel(call.name(), catalog.get())
            .map(model -> model.name())
            .filter(model -> !model.equals(call.name()))
            .orElse("");
    return new CompletionClient.Attempt(
        target.address(),
        call.path(),
        call.attemptId(),
        base,
        call.interactive() ? 0 : 1,
        call.body().utf8(),
        remainingMillis(call));
  }

  private static CompletionClient.Attempt withTime(
      CompletionClient.Attempt attempt, long timeoutMillis) {
    return new CompletionClient.Attempt(
        attempt.address(),
        attempt.path(),
        attempt.attempt(),
        attempt.baseModel(),
        attempt.priority(),
        attempt.body(),
        timeoutMillis);
  }

  private long remainingMillis(CallerRequest call) {
    return call.deadlineMillis() - monotonic.millis();
  }
}
