/** Connections between nodes, which exchange protobuf frames over Netty. */
package io.nutmegseam.node.peer;
