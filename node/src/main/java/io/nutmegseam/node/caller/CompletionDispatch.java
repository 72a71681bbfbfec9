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
 * Sends a completion request to its backend server and relays the response. One attempt produces
 * the complete response: a lost connection is resumed once, at the same server.
 */
public final class CompletionDispatch implements RequestRouter.Dispatch {
  private final CompletionClient client;
  private final Supplier<Catalog> catalog;
  private final Clock monotonic;
  private final EventSink events;

  /**
   * Creates the dispatch.
   *
   * @param client sends completion requests
   * @param catalog returns the active records
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
  public SentResponse run(CallerRequest request, ResponseSink sink) throws AttemptException {
    BackendServerRecord target = request.target().orElseThrow();
    events.record(EventKind.REQUEST_DISPATCHED, request.id(), target.name());
    CompletionClient.Attempt attempt = newAttempt(request, target);
    CompletionRelay relay = new CompletionRelay(request, sink);
    try {
      send(request, attempt, relay);
    } catch (BackendException e) {
      client.cancel(attempt);
      if (e.outcome() == BackendException.Outcome.CROSSED) {
        events.record(EventKind.ANSWER_CROSSED, request.id(), e.getMessage());
      }
      throw new AttemptException(e, relay.position());
    }
    if (relay.isCallerDisconnected()) {
      client.cancel(attempt);
      events.record(EventKind.REQUEST_CANCELLED, request.id(), "the caller disconnected");
    }
    relay.finish();
    return new SentResponse(
        target.name(), 200, "text/event-stream", okio.ByteString.EMPTY, relay.position());
  }

  private void send(CallerRequest request, CompletionClient.Attempt attempt, CompletionRelay relay)
      throws BackendException {
    try {
      client.run(attempt, relay);
    } catch (BackendException e) {
      boolean resumable =
          e.outcome() == BackendException.Outcome.CONNECTION_LOST
              && relay.position() > 0
              && remainingMillis(request) > 0;
      if (!resumable) {
        throw e;
      }
      client.resume(withTimeout(attempt, remainingMillis(request)), relay.position(), relay);
    }
  }

  private CompletionClient.Attempt newAttempt(CallerRequest request, BackendServerRecord target) {
    String base =
        PlacementRules.baseModel(request.name(), catalog.get())
            .map(model -> model.name())
            .filter(model -> !model.equals(request.name()))
            .orElse("");
    return new CompletionClient.Attempt(
        target.address(),
        request.path(),
        request.attemptId(),
        base,
        request.interactive() ? 0 : 1,
        request.body().utf8(),
        remainingMillis(request));
  }

  private static CompletionClient.Attempt withTimeout(
      CompletionClient.Attempt attempt, long timeoutMillis) {
    return new CompletionClient.Attempt(
        attempt.address(),
        attempt.path(),
        attempt.attemptId(),
        attempt.baseModel(),
        attempt.priority(),
        attempt.body(),
        timeoutMillis);
  }

  private long remainingMillis(CallerRequest request) {
    return request.deadlineMillis() - monotonic.millis();
  }
}
