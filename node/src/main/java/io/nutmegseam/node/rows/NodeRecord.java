package io.nutmegseam.node.rows;

import io.nutmegseam.node.settings.HostPort;

/**
 * What a node publishes about itself for other nodes.
 *
 * @param node name of the node
 * @param dataCentre data centre in which it runs
 * @param peerAddress address for connections from other nodes
 * @param power processor power, in cores of normal speed
 */
public record NodeRecord(String node, String dataCentre, HostPort peerAddress, double power) {}
