package io.nutmegseam.node.peer;

/**
 * Who a node says it is.
 *
 * @param node name of the node
 * @param incarnation incarnation of its process
 * @param dataCentre its data centre
 * @param clusterToken secret shared by all nodes
 */
public record PeerIdentity(
    String node, String incarnation, String dataCentre, String clusterToken) {}
