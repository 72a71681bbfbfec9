package io.nutmegseam.core.dispatch;

import java.util.Collection;
import java.util.TreeSet;

/**
 * Priorities that servers are told, which servers serve in ascending order. A request has the value
 * of its priority. Values between two priorities in use tell requests of the same priority apart,
 * so no request of a less urgent priority comes before a more urgent one, also at a node of an
 * earlier build. Immutable.
 */
public final class PriorityLevels {
  /** The least urgent value that servers know. */
  private static final int MAX_VALUE = 9;

  /**
   * A request with more time left can go second. Servers process several prompts within this time.
   */
  private static final long AMPLE_MILLIS = 1_000;

  private static final int MAX_EXTRA_LEVELS = 2;

  private final TreeSet<Integer> priorities;

  /**
   * Creates the levels of a service.
   *
   * @param priorities the priorities in use
   */
  public PriorityLevels(Collection<Integer> priorities) {
    this.priorities = new TreeSet<>(priorities);
  }

  /** Returns the value for a request that is sent to a server now. */
  public int valueOf(WaitingRequest request, long nowMillis) {
    int priority = request.priority();
    Integer next = priorities.higher(priority);
    // The values up to the next priority in use, without that of this priority.
    int between = (next == null ? MAX_VALUE + 1 : next) - priority - 1;
    int extraLevels = Math.max(0, Math.min(MAX_EXTRA_LEVELS, between));
    if (request.isLate(nowMillis)) {
      return priority + extraLevels;
    }
    boolean ample = request.latestStartMillis() - nowMillis > AMPLE_MILLIS;
    // A single extra level is for late requests, which gain least by going first.
    return ample && extraLevels == MAX_EXTRA_LEVELS ? priority + 1 : priority;
  }
}
