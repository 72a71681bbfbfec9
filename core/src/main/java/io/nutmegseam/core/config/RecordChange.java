package io.nutmegseam.core.config;

import java.util.Optional;

/**
 * A stored change of one record.
 *
 * @param kind the record kind
 * @param name the record's name
 * @param revision the configuration revision of the change
 * @param text the record as the operator wrote it, or empty if it was deleted
 */
public record RecordChange(RecordKind kind, String name, long revision, Optional<String> text) {}
