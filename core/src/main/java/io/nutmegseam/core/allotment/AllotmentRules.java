package io.nutmegseam.core.allotment;

import io.nutmegseam.core.tenant.Allotment;

/**
 * Times and amounts that depend on the number of nodes.
 *
 * @param windowSeconds window in which the use of an allotment is limited
 * @param overshoot part by which the use in a window may exceed the allotment
 * @param slackUnits units by which the use in a window may exceed the allotment in addition
 */
public record AllotmentRules(double windowSeconds, double overshoot, double slackUnits) {
  /** The limit that the platform sets by default. */
  public static final AllotmentRules DEFAULT = new AllotmentRules(8, 0.1, 110_000);

  private static final long MIN_MEMBERSHIP_MILLIS = 1_500;

  /**
   * One request with its answer, about 90 bytes, from each node in 0.42 of this is 10.7 KB/s at the
   * granting node of one group. Requests that wait for a grant add to it.
   */
  private static final double MEMBERSHIP_MILLIS_PER_NODE = 20;

  /** A request proves its age by the answer to the one before, so two fit in a membership. */
  private static final double INTERVALS_PER_MEMBERSHIP = 0.42;

  private static final int NODES_PER_GROUP = 45;

  /** The rest of the permitted excess is for members that change their granting node. */
  private static final double OUTSTANDING_PART = 0.7;

  private static final double JOINING_PART = 0.25;
  private static final double JOINING_SECONDS = 0.5;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Returns for how long a request makes its sender a member, in milliseconds. */
  public long membershipMillis(int nodes) {
    return Math.max(MIN_MEMBERSHIP_MILLIS, (long) (MEMBERSHIP_MILLIS_PER_NODE * nodes));
  }

  /** Returns the time between two requests of a member, in milliseconds. */
  public long intervalMillis(int nodes) {
    return (long) (membershipMillis(nodes) * INTERVALS_PER_MEMBERSHIP);
  }

  /**
   * Returns the number of groups of tenants: a power of two, so that it changes rarely, since all
   * shares are free for the membership time when it does.
   */
  public int groups(int nodes) {
    return Integer.highestOneBit(Math.max(1, nodes / NODES_PER_GROUP));
  }

  /** Returns the units that may be granted and not used, over all nodes. */
  public double outstandingUnits(Allotment allotment, int nodes) {
    double seconds = membershipMillis(nodes) / MILLIS_PER_SECOND;
    return Math.min(OUTSTANDING_PART * excess(allotment), seconds * allotment.ratePerSecond());
  }

  /**
   * Returns the units that may be available to members that have just joined, over all nodes, while
   * earlier grants may still be unused. Large enough for the largest request if possible.
   */
  public double joiningUnits(Allotment allotment, double largestCost) {
    return Math.min(
        JOINING_PART * excess(allotment),
        Math.max(JOINING_SECONDS * allotment.ratePerSecond(), largestCost));
  }

  /** Returns the most that may run in one window, over all nodes. */
  public double windowUnits(Allotment allotment) {
    return windowSeconds * allotment.ratePerSecond() + allotment.burst() + excess(allotment);
  }

  private double excess(Allotment allotment) {
    return overshoot * (windowSeconds * allotment.ratePerSecond() + allotment.burst()) + slackUnits;
  }
}
