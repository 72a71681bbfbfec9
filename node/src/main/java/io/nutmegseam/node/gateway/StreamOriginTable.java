package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.StreamOrigin;
import java.time.InstantSource;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of streams by the id of the request that brought the first event, for a limited time.
 * Confined to the traffic thread.
 */
final class StreamOriginTable {
  /** Far more than the streams that begin at a node, or are reported to it, within their time. */
  private static final int MAX_ENTRIES = 20_000;

  private final InstantSource clock;
  private final Map<String, Entry> entryByRequest = new LinkedHashMap<>();

  private record Entry(StreamOrigin origin, long expiresMillis) {}

  /**
   * Creates an empty table.
   *
   * @param clock monotonic clock
   */
  StreamOriginTable(InstantSource clock) {
    this.clock = clock;
  }

  /**
   * Adds an origin, or replaces an earlier one of the request.
   *
   * @param request id of the request that brought the first event
   * @param origin where the stream began
   * @param retentionMillis time for which the origin is kept, in milliseconds
   */
  void put(String request, StreamOrigin origin, long retentionMillis) {
    long nowMillis = clock.millis();
    entryByRequest.remove(request);
    entryByRequest.put(request, new Entry(origin, nowMillis + retentionMillis));
    Iterator<Entry> oldest = entryByRequest.values().iterator();
    while (oldest.hasNext()
        && (oldest.next().expiresMillis() <= nowMillis || entryByRequest.size() > MAX_ENTRIES)) {
      oldest.remove();
    }
  }

  /** Returns the origin of the stream that a request began, or empty if it is not known. */
  Optional<StreamOrigin> get(String request) {
    Entry entry = entryByRequest.get(request);
    return entry == null || entry.expiresMillis() <= clock.millis()
        ? Optional.empty()
        : Optional.of(entry.origin());
  }
}
