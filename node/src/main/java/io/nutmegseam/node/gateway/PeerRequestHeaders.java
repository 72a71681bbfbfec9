package io.nutmegseam.node.gateway;

/** Headers of requests that one node sends to another one for a caller. */
final class PeerRequestHeaders {
  /** Number of servers at which the request may have run before. */
  static final String RUNS = "nutmegseam-runs";

  private PeerRequestHeaders() {}
}
