package io.nutmegseam.core.backend;

/**
 * An order to a model engine.
 *
 * @param unit the model or adapter
 * @param base the model that an adapter adapts; empty for a model
 * @param memoryBytes memory that the unit needs, in bytes
 * @param epoch fencing number of the owner
 */
public record Order(String unit, String base, long memoryBytes, long epoch) {}
