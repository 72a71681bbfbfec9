package io.nutmegseam.core.config;

import java.util.Optional;

/**
 * A stored change of a record.
 *
 * @param kind the record kind
 * @param name name of the record
 * @param revision configuration revision of the change
 * @param text the record as JSON, or empty if the record was deleted
 */
public record RecordChange(RecordKind kind, String name, long revision, Optional<String> text) {}
