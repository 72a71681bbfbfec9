package io.nutmegseam.core.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the gateway's configuration. Immutable. */
public final class GatewayConfig {
  private final long version;
  private final Map<String, Route> routeByHostAndPrefix = new HashMap<>();
  private final Map<String, ServiceSpec> services;
  private final GatewayLimits limits;

  /**
   * Creates a configuration.
   *
   * @param version its version; a higher one replaces a lower one
   * @param routes the routes; of two with the same host and prefix the later one holds
   * @param services the services, by name
   * @param limits what callers may send
   */
  public GatewayConfig(
      long version, List<Route> routes, Map<String, ServiceSpec> services, GatewayLimits limits) {
    this.version = version;
    this.services = Map.copyOf(services);
    this.limits = limits;
    for (Route route : routes) {
      routeByHostAndPrefix.put(key(route.host(), route.pathPrefix()), route);
    }
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /** Returns what callers may send. */
  public GatewayLimits limits() {
    return limits;
  }

  /** Returns the number of routes. */
  public int routeCount() {
    return routeByHostAndPrefix.size();
  }

  /** Returns the services, by name. */
  public Map<String, ServiceSpec> services() {
    return services;
  }

  /** Returns a service, or empty if it is not declared. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns the route of a request: of the routes of its host, the one with the longest prefix.
   *
   * @param host value of the host header
   * @param path path without the query
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
