/** The node daemon, which creates, starts and stops the components of a node. */
package io.nutmegseam.node.daemon;
