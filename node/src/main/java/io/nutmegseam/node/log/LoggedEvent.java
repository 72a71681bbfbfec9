package io.nutmegseam.node.log;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.HybridTimestamp;

/**
 * One event of the log.
 *
 * @param at hybrid timestamp
 * @param node the node
 * @param kind the kind of event
 * @param subject what the event is about
 * @param detail further facts
 */
public record LoggedEvent(
    HybridTimestamp at, String node, EventKind kind, String subject, String detail) {}
