package io.nutmegseam.core.gateway;

import java.util.Optional;

/**
 * A service in front of which the gateway stands.
 *
 * @param name name of the service
 * @param maxConnections connections that one of its servers accepts from all callers together
 * @param engine its model engine; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {}
