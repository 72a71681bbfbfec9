package io.nutmegseam.node.caller;

import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import okio.ByteString;

/** Takes requests while the node is ready, counts those in flight and answers every error. */
public final class AcceptFilter {
  private static final long MILLIS_PER_SECOND = 1_000;

  private final BooleanSupplier ready;
  private final EventSink events;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger unsent = new AtomicInteger();
  private volatile boolean stopping;

  /**
   * Creates the filter.
   *
   * @param ready whether the node knows the configuration
   * @param events event log
   */
  public AcceptFilter(BooleanSupplier ready, EventSink events) {
    this.ready = ready;
    this.events = events;
  }

  /** The rest of the path of a request that was taken. */
  @FunctionalInterface
  public interface Taken {
    /**
     * Runs the request.
     *
     * @throws RequestException if the request is refused or fails
     */
    void run() throws RequestException;
  }

  /**
   * Takes one request.
   *
   * @param id names the request
   * @param sink the way back to the caller
   * @param taken the rest of the path
   */
  public void accept(String id, AnswerSink sink, Taken taken) {
    inFlight.incrementAndGet();
    try {
      if (stopping || !ready.getAsBoolean()) {
        throw Refusals.notReady(stopping ? "the node is shutting down" : "the node is starting");
      }
      taken.run();
    } catch (RequestException e) {
      refuse(id, sink, e);
    } catch (RuntimeException e) {
      events.record(EventKind.INTERNAL_FAULT, id, String.valueOf(e));
      refuse(id, sink, new RequestException(ErrorKind.INTERNAL, "internal fault, see the log"));
    } finally {
      inFlight.decrementAndGet();
    }
  }

  /** Notes that a request has come whose answer is not wholly sent. */
  public void onBegin() {
    unsent.incrementAndGet();
  }

  /** Notes that the last byte of an answer was handed to the network, or its caller has left. */
  public void onSent() {
    unsent.decrementAndGet();
  }

  /** Returns the number of requests whose answer is not wholly sent. */
  public int unsent() {
    return unsent.get();
  }

  /** Refuses new requests from now on. */
  public void stop() {
    stopping = true;
  }

  /** Returns whether new requests are taken. */
  public boolean isReady() {
    return !stopping && ready.getAsBoolean();
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  private void refuse(String id, AnswerSink sink, RequestException error) {
    events.record(
        EventKind.REQUEST_REFUSED, id, error.kind().wireName() + ": " + error.getMessage());
    String body = Refusals.body(error);
    if (sink.isStarted()) {
      sink.event("event: error\ndata: " + body + "\n\n");
      sink.endStream();
      return;
    }
    long retryAfterSeconds = (error.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    Map<String, String> headers =
        retryAfterSeconds > 0 ? Map.of("Retry-After", Long.toString(retryAfterSeconds)) : Map.of();
    sink.whole(error.kind().httpStatus(), "application/json", ByteString.encodeUtf8(body), headers);
  }
}
