/** Routing: the choice of the backend server of a request. */
package io.nutmegseam.core.routing;
