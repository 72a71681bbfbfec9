/** Limits that servers name, kept by all nodes together. */
package io.nutmegseam.node.quota;
