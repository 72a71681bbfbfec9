package io.nutmegseam.node.caller;

import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import okio.ByteString;

/**
 * Accepts requests while the node is ready, counts those in flight and sends an error response for
 * each one that fails.
 */
public final class RequestAcceptor {
  private static final long MILLIS_PER_SECOND = 1_000;

  private final BooleanSupplier ready;
  private final EventSink events;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger pendingResponses = new AtomicInteger();
  private volatile boolean stopping;

  /**
   * Creates the acceptor.
   *
   * @param ready returns whether the node has a configuration and can serve requests
   * @param events event log
   */
  public RequestAcceptor(BooleanSupplier ready, EventSink events) {
    this.ready = ready;
    this.events = events;
  }

  /** Runs the remaining steps of an accepted request. */
  @FunctionalInterface
  public interface RequestHandler {
    /**
     * Runs the request.
     *
     * @throws RequestException if the request is refused or fails
     */
    void handle() throws RequestException;
  }

  /**
   * Runs one request if the node accepts requests, and sends an error response if it fails.
   *
   * @param id id of the request, for the event log
   * @param sink sends the response to the caller
   * @param handler runs the remaining steps
   */
  public void accept(String id, ResponseSink sink, RequestHandler handler) {
    inFlight.incrementAndGet();
    try {
      if (stopping || !ready.getAsBoolean()) {
        throw RequestErrors.notReady(
            stopping ? "the node is shutting down" : "the node is starting");
      }
      handler.handle();
    } catch (RequestException e) {
      refuse(id, sink, e);
    } catch (RuntimeException e) {
      events.record(EventKind.INTERNAL_FAULT, id, String.valueOf(e));
      refuse(
          id,
          sink,
          new RequestException(
              ErrorKind.INTERNAL, "internal error, see the event log of the node"));
    } finally {
      inFlight.decrementAndGet();
    }
  }

  /** Counts a received request as pending until {@link #onResponseCompleted}. */
  public void onRequestReceived() {
    pendingResponses.incrementAndGet();
  }

  /**
   * Ends the count of a pending response: its last byte was passed to the network, or its caller
   * disconnected.
   */
  public void onResponseCompleted() {
    pendingResponses.decrementAndGet();
  }

  /** Returns the number of requests whose response is not completely sent. */
  public int pendingResponses() {
    return pendingResponses.get();
  }

  /** Refuses new requests from now on. */
  public void stop() {
    stopping = true;
  }

  /** Returns whether new requests are accepted. */
  public boolean isReady() {
    return !stopping && ready.getAsBoolean();
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  private void refuse(String id, ResponseSink sink, RequestException error) {
    events.record(
        EventKind.REQUEST_REFUSED, id, error.kind().wireName() + ": " + error.getMessage());
    String body = RequestErrors.toJson(error);
    if (sink.isStarted()) {
      sink.sendEvent("event: error\ndata: " + body + "\n\n");
      sink.endStream();
      return;
    }
    long retryAfterSeconds = (error.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    Map<String, String> headers =
        retryAfterSeconds > 0 ? Map.of("Retry-After", Long.toString(retryAfterSeconds)) : Map.of();
    sink.sendResponse(
        error.kind().httpStatus(), "application/json", ByteString.encodeUtf8(body), headers);
  }
}
