package io.nutmegseam.core.gateway;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the other services of the route
 */
public record ServiceShare(String service, int weight) {}
