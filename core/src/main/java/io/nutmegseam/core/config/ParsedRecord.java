package io.nutmegseam.core.config;

/**
 * A record that was parsed from a file, with its position.
 *
 * @param record the record in the newest schema version
 * @param line line of the record, from 1
 * @param column column of the record, from 1
 * @param text the record as JSON, in the schema version of the file
 * @param schemaVersion schema version of the text
 */
public record ParsedRecord(
    OperatorRecord record, int line, int column, String text, int schemaVersion) {}
