package io.nutmegseam.node.pace;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.node.peer.PeerTrafficCounter;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Reports the bytes that a node exchanges with other data centres, by kind. Thread-safe. */
public final class RemoteTraffic {
  /** Interval of the log lines. */
  public static final long LOG_INTERVAL_MILLIS = 10_000;

  private final RemoteBytes bytes;
  private final PeerTrafficCounter peers;
  private final EventSink events;
  private Map<String, Long> logged = Map.of();

  /**
   * Creates a report.
   *
   * @param bytes bytes exchanged with servers
   * @param peers frames exchanged with other nodes
   * @param events event log
   */
  public RemoteTraffic(RemoteBytes bytes, PeerTrafficCounter peers, EventSink events) {
    this.bytes = bytes;
    this.peers = peers;
    this.events = events;
  }

  /**
   * Returns the bytes so far, by kind. Frames count at the node that sends them, so that the sum
   * over all nodes counts each once.
   */
  public Map<String, Long> totals() {
    Map<String, Long> totals = new TreeMap<>();
    for (RemoteBytes.Kind kind : RemoteBytes.Kind.values()) {
      totals.put(kind.label(), bytes.total(kind));
    }
    peers
        .remoteSent()
        .forEach((kind, count) -> totals.put(kind.name().toLowerCase(Locale.ROOT), count.bytes()));
    return totals;
  }

  /** Logs the totals if they have changed since the last line. */
  public synchronized void log() {
    Map<String, Long> totals = totals();
    if (!totals.equals(logged) && totals.values().stream().anyMatch(total -> total > 0)) {
      logged = totals;
      events.record(
          EventKind.REMOTE_BYTES,
          "other data centres",
          totals.entrySet().stream()
              .filter(entry -> entry.getValue() > 0)
              .map(entry -> entry.getKey() + " " + entry.getValue())
              .collect(Collectors.joining(", ")));
    }
  }
}
