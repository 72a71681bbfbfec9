/** Tests of the placement planner and the placement rules. */
package io.nutmegseam.core.placement;
