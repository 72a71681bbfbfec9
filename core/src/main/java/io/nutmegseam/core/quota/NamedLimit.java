package io.nutmegseam.core.quota;

/**
 * Limits that a process of a server has named, or has ceased to name.
 *
 * @param process the process, as the text of its incarnation
 * @param limits the limits; none if the process has ceased to name any
 * @param namedMillis monotonic time of the last response that is known to have said so
 */
public record NamedLimit(String process, ServerLimits limits, long namedMillis) {}
