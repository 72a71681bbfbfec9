/** Shares between nodes which requests crash backend servers. */
package io.nutmegseam.node.crash;
