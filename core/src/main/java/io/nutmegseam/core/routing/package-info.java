/** Routing: which backend server gets a request. */
package io.nutmegseam.core.routing;
