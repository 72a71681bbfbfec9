package io.nutmegseam.core.platform;

/**
 * The result of a transaction.
 *
 * @param committed whether every check succeeded and the writes took effect
 * @param version commit number of the writes; 0 if not committed
 */
public record CommitResult(boolean committed, long version) {}
