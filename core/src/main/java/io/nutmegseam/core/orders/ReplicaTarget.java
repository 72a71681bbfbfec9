package io.nutmegseam.core.orders;

/** Computes how many replicas of a model the servers should have loaded. */
final class ReplicaTarget {
  /** Request rate per slot of a server at which requests still meet their target. */
  private static final double REQUESTS_PER_SECOND_PER_SLOT = 1.0;

  /** Prompt processing limits a server with many slots to this request rate. */
  private static final double MAX_REQUESTS_PER_SECOND_PER_REPLICA = 14;

  /** A model with a lower request rate gets no second replica. */
  private static final double MIN_REQUESTS_PER_SECOND_TO_REPLICATE = 4;

  /** A replica is released only well below the request rate at which it was added. */
  private static final double RETAIN_FACTOR = 0.6;

  /** Above this multiple of the rate of its replicas, a model's requests miss their target. */
  private static final double OVERLOAD_FACTOR = 1.3;

  /** Replicas with which a high-demand model stays available when a server is lost. */
  static final int MIN_AVAILABLE_REPLICAS = 2;

  private ReplicaTarget() {}

  /**
   * Returns the number of replicas that a model should have. A high-demand model has at least two,
   * so that it stays available when a server is lost.
   *
   * @param ratePerSecond requests per second for the model
   * @param slots requests that a server runs concurrently
   */
  static int desired(double ratePerSecond, int slots) {
    return ratePerSecond < MIN_REQUESTS_PER_SECOND_TO_REPLICATE
        ? 1
        : Math.max(MIN_AVAILABLE_REPLICAS, (int) Math.ceil(ratePerSecond / ratePerReplica(slots)));
  }

  /** Returns the number of replicas to keep; those above it are spare. */
  static int minimumKept(double ratePerSecond, int slots) {
    return ratePerSecond < MIN_REQUESTS_PER_SECOND_TO_REPLICATE * RETAIN_FACTOR
        ? 1
        : Math.max(
            MIN_AVAILABLE_REPLICAS,
            (int) Math.ceil(ratePerSecond * RETAIN_FACTOR / ratePerReplica(slots)));
  }

  /** Returns whether the replicas of a model are too few to serve its requests within target. */
  static boolean isOverloaded(double ratePerSecond, int replicas, int slots) {
    return ratePerSecond >= MIN_REQUESTS_PER_SECOND_TO_REPLICATE
        && ratePerSecond > OVERLOAD_FACTOR * replicas * ratePerReplica(slots);
  }

  private static double ratePerReplica(int slots) {
    return Math.max(
        1, Math.min(MAX_REQUESTS_PER_SECOND_PER_REPLICA, slots * REQUESTS_PER_SECOND_PER_SLOT));
  }
}
