/** Decides which node sends orders to the servers of a fleet, and which models the servers load. */
package io.nutmegseam.core.orders;
