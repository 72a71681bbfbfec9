package io.nutmegseam.core.backend;

/**
 * A load or unload order to a model engine.
 *
 * @param unit the model or adapter
 * @param base the model that an adapter belongs to; empty for a model
 * @param memoryBytes memory that the unit needs, in bytes
 * @param epoch fencing number of the owner that sends the order
 */
public record Order(String unit, String base, long memoryBytes, long epoch) {}
