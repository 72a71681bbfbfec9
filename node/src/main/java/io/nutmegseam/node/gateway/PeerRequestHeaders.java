package io.nutmegseam.node.gateway;

/** Headers of requests that one node sends to another one for a caller, and of their responses. */
final class PeerRequestHeaders {
  /** Number of servers at which the request may have run before. */
  static final String RUNS = "nutmegseam-runs";

  /** Number of servers at which the other node may run the request. */
  static final String DELEGATED_RUNS = "nutmegseam-delegated-runs";

  /** Number of delegated runs that were not used; on responses without success. */
  static final String UNUSED_RUNS = "nutmegseam-unused-runs";

  private PeerRequestHeaders() {}
}
