package io.nutmegseam.standin.measure;

/**
 * What became of one request.
 *
 * @param arrival the request
 * @param cold whether its unit was loaded nowhere at its intended start
 * @param firstTokenMillis time from the intended start to the first token; -1 for none
 * @param doneMillis time from the intended start to the end
 * @param whole whether the whole answer came
 * @param errorKind kind of the error; empty for none
 */
public record RequestOutcome(
    Arrival arrival,
    boolean cold,
    long firstTokenMillis,
    long doneMillis,
    boolean whole,
    String errorKind) {}
