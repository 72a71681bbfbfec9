/** Checked settings of a node. */
package io.nutmegseam.node.settings;
