package io.nutmegseam.node.rows;

/**
 * Times that determine when a table is read, in milliseconds.
 *
 * @param longPollMillis longest time that the store may wait for a change
 * @param pauseMillis pause between two reads
 * @param maxUpdateAgeMillis age until which an update of the followed node replaces a read
 */
public record PollTiming(long longPollMillis, long pauseMillis, long maxUpdateAgeMillis) {}
