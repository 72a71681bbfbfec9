/**
 * Control state of a node. Only the control thread changes it; traffic threads read immutable
 * snapshots.
 */
package io.nutmegseam.node.control;
