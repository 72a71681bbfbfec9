package io.nutmegseam.core.platform;

/**
 * A row of the table service.
 *
 * @param key key of the row
 * @param value value of the row, as JSON text
 * @param version {@link StorePosition} of the last write of the row; rises across all rows of the
 *     table
 */
public record Row(String key, String value, long version) {}
