package io.nutmegseam.core.ownership;

/**
 * The row that records the owner of a backend server.
 *
 * @param owner the owning node; empty for none
 * @param incarnation the incarnation of the owning node
 * @param epoch fencing number; rises with each new owner
 */
public record ServerRow(String owner, String incarnation, long epoch) {
  /** Prefix of the keys of server rows. */
  public static final String PREFIX = "control/server/";

  /** Returns the row of a server that has never had an owner. */
  public static ServerRow unowned() {
    return new ServerRow("", "", 0);
  }

  /** Returns the key of the row of a server. */
  public static String key(String server) {
    return PREFIX + server;
  }

  /** Returns the row after a node has become the owner, with the next fencing number. */
  public ServerRow acquiredBy(String node, String nodeIncarnation) {
    return new ServerRow(node, nodeIncarnation, epoch + 1);
  }

  /** Returns the row after the owner has released the server. */
  public ServerRow released() {
    return new ServerRow("", "", epoch);
  }

  /** Returns whether an incarnation of a node owns the server. */
  public boolean isOwnedBy(String node, String nodeIncarnation) {
    return owner.equals(node) && incarnation.equals(nodeIncarnation);
  }
}
