/** The node daemon: joins all parts, starts and stops them. */
package io.nutmegseam.node.daemon;
