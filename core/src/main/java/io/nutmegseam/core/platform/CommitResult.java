package io.nutmegseam.core.platform;

/**
 * The answer to a transaction.
 *
 * @param committed whether every check held and the writes took effect
 * @param version commit number of the writes; 0 if not committed
 */
public record CommitResult(boolean committed, long version) {}
