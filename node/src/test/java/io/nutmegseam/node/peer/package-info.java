/** Tests of connections between nodes. */
package io.nutmegseam.node.peer;
