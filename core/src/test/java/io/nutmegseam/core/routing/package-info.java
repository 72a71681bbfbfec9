/** Tests of routing, admission and repeats. */
package io.nutmegseam.core.routing;
