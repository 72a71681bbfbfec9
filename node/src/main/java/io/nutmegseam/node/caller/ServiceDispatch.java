package io.nutmegseam.node.caller;

import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.node.backend.PlainServiceClient;
import java.time.Clock;
import java.util.Map;

/** Sends a call to a plain service and passes its whole answer on. */
public final class ServiceDispatch implements RouteFilter.Dispatch {
  private final PlainServiceClient client;
  private final Clock monotonic;
  private final EventSink events;

  /**
   * Creates the dispatch.
   *
   * @param client sends calls
   * @param monotonic monotonic clock
   * @param events event log
   */
  public ServiceDispatch(PlainServiceClient client, Clock monotonic, EventSink events) {
    this.client = client;
    this.monotonic = monotonic;
    this.events = events;
  }

  @Override
  public SentResponse run(CallerRequest call, ResponseSink sink) throws AttemptException {
    BackendServerRecord target = call.target().orElseThrow();
    events.record(EventKind.REQUEST_DISPATCHED, call.id(), target.name());
    PlainServiceClient.ServiceAnswer answer;
    try {
      answer =
          client.run(
              new PlainServiceClient.ServiceCall(
                  target.address(),
                  call.method(),
                  call.path(),
                  call.contentType(),
                  call.body(),
                  call.deadlineMillis() - monotonic.millis()));
    } catch (BackendException e) {
      throw new AttemptException(e, 0);
    }
    sink.sendResponse(answer.status(), answer.contentType(), answer.body(), Map.of());
    return new SentResponse(target.name(), answer.status(), answer.contentType(), answer.body(), 0);
  }
}
