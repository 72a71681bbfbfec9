/**
 * Connections to servers and to other nodes: pools, the decoding of responses, and which request a
 * response belongs to. {@link io.nutmegseam.node.connection.ServerConnectionPools} is the entry.
 */
package io.nutmegseam.node.connection;
