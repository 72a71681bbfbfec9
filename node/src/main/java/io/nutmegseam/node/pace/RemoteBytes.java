package io.nutmegseam.node.pace;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes that this node exchanges with servers in other data centres, without the headers
 * of messages. Thread-safe.
 */
public final class RemoteBytes {
  private final String dataCentre;
  private final Map<Kind, LongAdder> bytesByKind = new EnumMap<>(Kind.class);

  /** What the bytes belong to. */
  public enum Kind {
    /** Bodies of requests. */
    REQUEST,
    /** Bodies of responses to requests. */
    RESPONSE,
    /** Bodies of orders to servers and of the responses to them. */
    ORDER,
    /** Bodies of the reports of servers on their models. */
    REPORT;

    /** Returns the name in metrics and log lines. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * Creates a counter.
   *
   * @param dataCentre data centre of this node
   */
  public RemoteBytes(String dataCentre) {
    this.dataCentre = dataCentre;
    for (Kind kind : Kind.values()) {
      bytesByKind.put(kind, new LongAdder());
    }
  }

  /** Counts bytes exchanged with a server, if its data centre is another one. */
  public void add(Kind kind, String serverDataCentre, long bytes) {
    if (!dataCentre.equals(serverDataCentre)) {
      bytesByKind.get(kind).add(bytes);
    }
  }

  /** Returns the bytes counted so far. */
  public long total(Kind kind) {
    return bytesByKind.get(kind).sum();
  }
}
