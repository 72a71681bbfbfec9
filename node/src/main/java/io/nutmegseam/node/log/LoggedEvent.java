package io.nutmegseam.node.log;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.HybridTimestamp;

/**
 * One event of the log.
 *
 * @param at time of the event on the hybrid clock
 * @param node name of the node that recorded the event
 * @param kind the kind of event
 * @param subject what the event is about
 * @param detail additional details, as text
 */
public record LoggedEvent(
    HybridTimestamp at, String node, EventKind kind, String subject, String detail) {}
