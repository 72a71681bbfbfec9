package io.nutmegseam.node.caller;

import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.node.backend.PlainServiceClient;
import java.time.Clock;
import java.util.Map;

/** Sends a request to a plain service and relays its complete response. */
public final class ServiceDispatch implements RequestRouter.Dispatch {
  private final PlainServiceClient client;
  private final Clock monotonic;
  private final EventSink events;

  /**
   * Creates the dispatch.
   *
   * @param client sends requests to plain services
   * @param monotonic monotonic clock
   * @param events event log
   */
  public ServiceDispatch(PlainServiceClient client, Clock monotonic, EventSink events) {
    this.client = client;
    this.monotonic = monotonic;
    this.events = events;
  }

  @Override
  public SentResponse run(CallerRequest request, ResponseSink sink) throws AttemptException {
    BackendServerRecord target = request.target().orElseThrow();
    events.record(EventKind.REQUEST_DISPATCHED, request.id(), target.name());
    PlainServiceClient.ServiceResponse response;
    try {
      response =
          client.run(
              new PlainServiceClient.ServiceCall(
                  target.address(),
                  request.method(),
                  request.path(),
                  request.contentType(),
                  request.body(),
                  request.deadlineMillis() - monotonic.millis()));
    } catch (BackendException e) {
      throw new AttemptException(e, 0);
    }
    sink.sendResponse(response.status(), response.contentType(), response.body(), Map.of());
    return new SentResponse(
        target.name(), response.status(), response.contentType(), response.body(), 0);
  }
}
