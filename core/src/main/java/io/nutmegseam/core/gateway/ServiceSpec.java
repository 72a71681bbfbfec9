package io.nutmegseam.core.gateway;

import java.util.Optional;

/**
 * A service to which the gateway forwards requests.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that a server accepts from all its clients
 * @param engine model engine of the service; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {}
