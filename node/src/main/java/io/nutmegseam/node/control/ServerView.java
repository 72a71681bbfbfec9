package io.nutmegseam.node.control;

import java.util.Set;

/**
 * What is known about a backend server, from its owner or from this node.
 *
 * @param server the server's name
 * @param epoch fencing number of the owner that says so
 * @param sequence rises with every state of that owner
 * @param reachable whether the owner reaches it
 * @param leaving whether the server itself says that it is leaving
 * @param loadedUnits models and adapters that take requests
 * @param loadingUnits models and adapters whose load is ordered
 * @param engineIncarnation incarnation of the engine
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
  /** Returns what is known about a server that nobody has reported on. */
  public static ServerView unknown(String server) {
    return new ServerView(server, 0, 0, false, false, Set.of(), Set.of(), "");
  }

  /** Returns whether another view is from a later owner, or later from the same one. */
  public boolean isOlderThan(ServerView other) {
    return epoch != other.epoch ? epoch < other.epoch : sequence < other.sequence;
  }
}
