package io.nutmegseam.node.control;

import java.util.Set;

/**
 * The newest known state of a backend server, as its owner has reported or this node has observed.
 *
 * @param server name of the server
 * @param epoch fencing number in the server's ownership row when the state was observed
 * @param sequence increases with every state that an observer publishes
 * @param reachable whether the observer reaches the server
 * @param leaving whether the server itself reports that it is leaving
 * @param loadedUnits models and adapters that accept requests
 * @param loadingUnits models and adapters whose load is ordered
 * @param engineIncarnation incarnation of the engine; changes with every start
 */
public record ServerView(
    String server,
    long epoch,
    long sequence,
    boolean reachable,
    boolean leaving,
    Set<String> loadedUnits,
    Set<String> loadingUnits,
    String engineIncarnation) {
  /** Returns the view of a server without a report: unreachable and with nothing loaded. */
  public static ServerView unknown(String server) {
    return new ServerView(server, 0, 0, false, false, Set.of(), Set.of(), "");
  }

  /** Returns whether another view has a higher epoch, or the same one and a higher sequence. */
  public boolean isOlderThan(ServerView other) {
    return epoch != other.epoch ? epoch < other.epoch : sequence < other.sequence;
  }
}
