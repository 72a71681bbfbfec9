package io.nutmegseam.core.orders;

/** Decides on how many servers a model should be loaded. */
final class ReplicaTarget {
  /** Requests a second for each slot of a server that still meet their target. */
  private static final double RATE_PER_SLOT = 1.0;

  /** Reading prompts limits a server with many slots to this many requests a second. */
  private static final double MAX_RATE_PER_REPLICA = 14;

  /** A model with less demand is not worth a second replica. */
  private static final double MIN_RATE_FOR_MORE = 4;

  /** A replica is given up only well below the rate at which it was added. */
  private static final double KEEP_FACTOR = 0.6;

  /** Replicas with more than this multiple of their rate make requests late. */
  private static final double SHORT_FACTOR = 1.3;

  private ReplicaTarget() {}

  /**
   * Returns the number of replicas that demand asks for; a model in demand has two at least, so
   * that the loss of a server does not stop it.
   *
   * @param ratePerSecond requests a second
   * @param slots requests that a server runs at once
   */
  static int desired(double ratePerSecond, int slots) {
    return ratePerSecond < MIN_RATE_FOR_MORE
        ? 1
        : Math.max(2, (int) Math.ceil(ratePerSecond / ratePerReplica(slots)));
  }

  /** Returns the number of replicas below which none is given up. */
  static int minimumKept(double ratePerSecond, int slots) {
    return ratePerSecond < MIN_RATE_FOR_MORE * KEEP_FACTOR
        ? 1
        : Math.max(2, (int) Math.ceil(ratePerSecond * KEEP_FACTOR / ratePerReplica(slots)));
  }

  /** Returns whether the replicas of a model cannot take its demand in time. */
  static boolean isUnderProvisioned(double ratePerSecond, int replicas, int slots) {
    return ratePerSecond >= MIN_RATE_FOR_MORE
        && (replicas < 2 || ratePerSecond > SHORT_FACTOR * replicas * ratePerReplica(slots));
  }

  private static double ratePerReplica(int slots) {
    return Math.max(1, Math.min(MAX_RATE_PER_REPLICA, slots * RATE_PER_SLOT));
  }
}
