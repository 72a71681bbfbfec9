package io.nutmegseam.core.orders;

/** Decides on how many servers a model should be loaded. */
final class ReplicaGoal {
  /** Requests a second that one server answers within their target beside its other models. */
  private static final double RATE_PER_REPLICA = 6;

  /** A model with less demand is not worth a second replica. */
  private static final double MIN_RATE_FOR_MORE = 4;

  /** A replica is given up only well below the rate at which it was added. */
  private static final double KEEP_FACTOR = 0.6;

  private ReplicaGoal() {}

  /** Returns the number of replicas that demand asks for. */
  static int wanted(double ratePerSecond) {
    return ratePerSecond < MIN_RATE_FOR_MORE
        ? 1
        : (int) Math.ceil(ratePerSecond / RATE_PER_REPLICA);
  }

  /** Returns the number of replicas below which none is given up. */
  static int kept(double ratePerSecond) {
    if (ratePerSecond < MIN_RATE_FOR_MORE * KEEP_FACTOR) {
      return 1;
    }
    return (int) Math.ceil(ratePerSecond / RATE_PER_REPLICA * KEEP_FACTOR);
  }
}
