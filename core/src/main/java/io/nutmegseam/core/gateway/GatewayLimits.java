package io.nutmegseam.core.gateway;

/**
 * Limits of callers' connections and requests.
 *
 * @param maxHeaderBytes maximum size of a request head, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMillis maximum time for a request head to arrive, in milliseconds
 * @param idleTimeoutMillis maximum time that a connection may be idle, in milliseconds
 */
public record GatewayLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
