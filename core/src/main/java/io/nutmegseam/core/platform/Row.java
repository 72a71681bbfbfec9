package io.nutmegseam.core.platform;

/**
 * One row of the table service.
 *
 * @param key the row's key
 * @param value the row's value, as JSON text
 * @param version commit number of the row's last write; rises over the whole table
 */
public record Row(String key, String value, long version) {}
