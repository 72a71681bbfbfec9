package io.nutmegseam.core.config;

/**
 * A record with the place where it stands in its file.
 *
 * @param record the record
 * @param line line of the record, from 1
 * @param column column of the record, from 1
 * @param text the record as JSON, in the schema version that the operator used
 * @param schemaVersion that schema version
 */
public record ParsedRecord(
    OperatorRecord record, int line, int column, String text, int schemaVersion) {}
