package io.nutmegseam.standin.measure;

/**
 * Outcome of one request.
 *
 * @param arrival the request
 * @param cold whether its unit was loaded on no engine, by the latest sample, when it was sent
 * @param firstTokenMillis time from the scheduled send time to the first token, in milliseconds; -1
 *     if no token was received
 * @param doneMillis time from the scheduled send time to the end of the response or to the failure,
 *     in milliseconds
 * @param whole whether the complete response was received
 * @param errorKind error kind from the node's response, or one set by the driver if there was no
 *     complete response; empty if there was no error
 */
public record RequestOutcome(
    Arrival arrival,
    boolean cold,
    long firstTokenMillis,
    long doneMillis,
    boolean whole,
    String errorKind) {}
