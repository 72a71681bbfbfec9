package io.nutmegseam.node.peer;

/**
 * Identifies a node to its peers.
 *
 * @param node name of the node
 * @param incarnation incarnation of the node, which identifies its process
 * @param dataCentre data centre of the node
 * @param clusterToken secret shared by all nodes
 */
public record PeerIdentity(
    String node, String incarnation, String dataCentre, String clusterToken) {}
