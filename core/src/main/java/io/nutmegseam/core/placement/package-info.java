/** Placements: which backend server may load which replica of a model. */
package io.nutmegseam.core.placement;
