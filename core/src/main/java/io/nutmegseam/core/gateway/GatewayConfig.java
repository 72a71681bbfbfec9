package io.nutmegseam.core.gateway;

import io.nutmegseam.core.tenant.Tenants;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A version of the gateway's configuration. Immutable. */
public final class GatewayConfig {
  private final long version;
  private final Map<String, Route> routeByHostAndPrefix = new HashMap<>();
  private final Map<String, ServiceSpec> services;
  private final GatewayLimits limits;
  private final Tenants tenants;

  /** Creates a configuration without tenants. */
  public GatewayConfig(
      long version, List<Route> routes, Map<String, ServiceSpec> services, GatewayLimits limits) {
    this(version, routes, services, limits, Tenants.NONE);
  }

  /**
   * Creates a configuration.
   *
   * @param version version of the configuration; a higher version replaces a lower one
   * @param routes the routes; a route replaces an earlier one with the same host and path prefix
   * @param services services by name
   * @param limits limits of callers' connections and requests
   * @param tenants the tenants; if there are any, requests need a key of one of them
   */
  public GatewayConfig(
      long version,
      List<Route> routes,
      Map<String, ServiceSpec> services,
      GatewayLimits limits,
      Tenants tenants) {
    this.tenants = tenants;
    this.version = version;
    this.services = Map.copyOf(services);
    this.limits = limits;
    for (Route route : routes) {
      routeByHostAndPrefix.put(key(route.host(), route.pathPrefix()), route);
    }
  }

  /** Returns the version of the configuration. */
  public long version() {
    return version;
  }

  /** Returns the limits of callers' connections and requests. */
  public GatewayLimits limits() {
    return limits;
  }

  /** Returns the tenants. */
  public Tenants tenants() {
    return tenants;
  }

  /** Returns the routes. */
  public Collection<Route> routes() {
    return Collections.unmodifiableCollection(routeByHostAndPrefix.values());
  }

  /** Returns the number of routes. */
  public int routeCount() {
    return routeByHostAndPrefix.size();
  }

  /** Returns the services by name. */
  public Map<String, ServiceSpec> services() {
    return services;
  }

  /** Returns a service, or empty if it is not declared. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns the route of a request: the route of its host with the longest matching path prefix.
   *
   * @param host value of the {@code Host} header
   * @param path path of the request, without the query
   * @return the route, or empty if none matches
   */
  public Optional<Route> route(String host, String path) {
    for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
      Route route = routeByHostAndPrefix.get(key(host, path.substring(0, slash + 1)));
      if (route != null) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String key(String host, String pathPrefix) {
    return host + "\n" + pathPrefix;
  }
}
