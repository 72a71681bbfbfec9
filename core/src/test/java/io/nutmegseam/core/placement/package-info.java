/** Tests of placements. */
package io.nutmegseam.core.placement;
