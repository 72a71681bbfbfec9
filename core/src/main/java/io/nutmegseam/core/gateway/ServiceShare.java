package io.nutmegseam.core.gateway;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service name of the service
 * @param weight weight of the service, relative to the other services of the route
 */
public record ServiceShare(String service, int weight) {}
