package io.nutmegseam.node.control;

import io.nutmegseam.core.backend.Engine;
import io.nutmegseam.core.config.BackendServerRecord;

/** Creates clients for the control interface of backend servers. */
@FunctionalInterface
public interface EngineFactory {
  /** Returns a new client for the control interface of a model engine. */
  Engine create(BackendServerRecord server);
}
