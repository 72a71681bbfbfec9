package io.nutmegseam.node.tenant;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.tenant.ApiKeyParser;
import io.nutmegseam.core.tenant.Tenant;
import io.nutmegseam.core.tenant.Tenants;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/** Determines the tenant of a request by its headers, and passes its name on without the key. */
public final class RequestTenants {
  private RequestTenants() {}

  /**
   * The parts of a request that determine its tenant.
   *
   * @param headers headers of the request
   * @param fromPeer whether another node sent the request
   * @param tenantHeader name of the header with the tenant's name
   */
  public record Source(HttpHeaders headers, boolean fromPeer, String tenantHeader) {
    /** Returns the tenant that another node has authenticated; nodes of this build send no key. */
    private Optional<String> checkedTenant() {
      return fromPeer && !headers.contains(HttpHeaderNames.AUTHORIZATION)
          ? Optional.ofNullable(headers.get(tenantHeader))
          : Optional.empty();
    }
  }

  /**
   * Returns the tenant of a request; empty if the request needs none.
   *
   * @param source the request
   * @param config the configuration; read after {@code proof}, so that it is not older than that
   * @param route route of the request
   * @param proof whether the configuration is provably young enough
   * @throws RequestException if the request has no valid key, or the node cannot tell
   */
  public static Optional<Tenant> authenticate(
      Source source, GatewayConfig config, Route route, ProofState proof) throws RequestException {
    Tenants tenants = config.tenants();
    if (tenants.isEmpty() || route.isPublic()) {
      return Optional.empty();
    }
    Optional<String> checked = source.checkedTenant();
    if (checked.isPresent()) {
      return Optional.of(tenants.byName(checked.get()).orElseGet(() -> unknown(checked.get())));
    }
    List<String> values = source.headers().getAll(HttpHeaderNames.AUTHORIZATION);
    Optional<String> key = ApiKeyParser.parse(values);
    if (key.isEmpty()) {
      // The value is secret even if it is malformed, so it is not quoted.
      throw unauthenticated(
          "%d Authorization headers; exactly one is needed, with the scheme Bearer and a key of at most %d characters"
              .formatted(values.size(), ApiKeyParser.MAX_KEY_LENGTH),
          route,
          config);
    }
    if (!proof.proven()) {
      throw unproven(route, config, proof);
    }
    return Optional.of(
        tenants
            .byKey(key.get())
            .orElseThrow(() -> unauthenticated("the key is unknown", route, config)));
  }

  /**
   * Replaces what the caller sent as the tenant and its key in a request to a server or to another
   * node. Without tenants, headers are not changed.
   *
   * @param headers headers of the request to send
   * @param tenantHeader name of the header with the tenant's name
   * @param tenants all tenants
   * @param route route of the request
   * @param tenant tenant of the request
   */
  public static void replaceHeaders(
      HttpHeaders headers,
      String tenantHeader,
      Tenants tenants,
      Route route,
      Optional<Tenant> tenant) {
    if (tenants.isEmpty() && tenant.isEmpty()) {
      return;
    }
    headers.remove(tenantHeader);
    if (route.isPublic()) {
      removeKnownKeys(headers, tenants);
    } else {
      headers.remove(HttpHeaderNames.AUTHORIZATION);
      tenant.ifPresent(known -> headers.set(tenantHeader, known.name()));
    }
  }

  /** Servers of public routes may have credentials of their own, which stay. */
  private static void removeKnownKeys(HttpHeaders headers, Tenants tenants) {
    List<String> values = headers.getAll(HttpHeaderNames.AUTHORIZATION);
    List<String> kept =
        values.stream().filter(value -> !ApiKeyParser.hasKnownKey(value, tenants)).toList();
    if (kept.size() < values.size()) {
      headers.remove(HttpHeaderNames.AUTHORIZATION);
      headers.add(HttpHeaderNames.AUTHORIZATION, kept);
    }
  }

  /** Returns a tenant that only the configuration of the other node has. */
  private static Tenant unknown(String name) {
    return new Tenant(name, Set.of(), OptionalInt.empty(), Optional.empty());
  }

  private static RequestException unauthenticated(
      String reason, Route route, GatewayConfig config) {
    return new RequestException(
        ErrorKind.UNAUTHENTICATED,
        "route %s, configuration %d: %s".formatted(route.name(), config.version(), reason));
  }

  private static RequestException unproven(Route route, GatewayConfig config, ProofState proof) {
    String age =
        proof.ageMillis().isPresent()
            ? "last confirmed %d ms ago".formatted(proof.ageMillis().getAsLong())
            : "not confirmed";
    return new RequestException(
        ErrorKind.REVOCATION_UNPROVEN,
        "route %s: configuration %d is %s".formatted(route.name(), config.version(), age),
        proof.retryAfterMillis());
  }
}
