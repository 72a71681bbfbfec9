/** Prometheus metrics of a node. */
package io.nutmegseam.node.metrics;
