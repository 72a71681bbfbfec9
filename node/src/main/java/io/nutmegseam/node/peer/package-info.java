/** Connections between nodes: Netty, protobuf frames, and the state that peers share. */
package io.nutmegseam.node.peer;
