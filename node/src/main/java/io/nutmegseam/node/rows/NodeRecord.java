package io.nutmegseam.node.rows;

import io.nutmegseam.node.settings.HostPort;
import java.util.Optional;

/**
 * What a node publishes about itself for other nodes.
 *
 * @param node name of the node
 * @param dataCentre data centre in which it runs
 * @param peerAddress address for connections from other nodes
 * @param power processor power, in cores of normal speed
 * @param requestAddress address for requests of callers that other nodes cannot send to a server;
 *     empty for a node of a version that accepts none
 */
public record NodeRecord(
    String node,
    String dataCentre,
    HostPort peerAddress,
    double power,
    Optional<HostPort> requestAddress) {
  /** Creates the record of a node that accepts no requests of other nodes. */
  public NodeRecord(String node, String dataCentre, HostPort peerAddress, double power) {
    this(node, dataCentre, peerAddress, power, Optional.empty());
  }
}
