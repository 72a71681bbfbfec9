package io.nutmegseam.core.config;

/**
 * A record with the place where it stands in its file.
 *
 * @param record the record
 * @param line line of the record, from 1
 * @param column column of the record, from 1
 */
public record LocatedRecord(OperatorRecord record, int line, int column) {}
