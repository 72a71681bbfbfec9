/** Placements: the assignment of model replicas to backend servers. */
package io.nutmegseam.core.placement;
