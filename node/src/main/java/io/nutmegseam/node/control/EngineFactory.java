package io.nutmegseam.node.control;

import io.nutmegseam.core.backend.Engine;
import io.nutmegseam.core.config.BackendServerRecord;

/** Gives the control interface of a backend server. */
@FunctionalInterface
public interface EngineFactory {
  /** Returns the control interface of a model engine. */
  Engine create(BackendServerRecord server);
}
