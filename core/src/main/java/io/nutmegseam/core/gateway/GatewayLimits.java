package io.nutmegseam.core.gateway;

/**
 * What callers may send, and how long they may take.
 *
 * @param maxHeaderBytes largest request head
 * @param maxBodyBytes largest request body
 * @param headerTimeoutMillis longest time for a request to arrive, in milliseconds
 * @param idleTimeoutMillis longest time that a connection may stay idle, in milliseconds
 */
public record GatewayLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
