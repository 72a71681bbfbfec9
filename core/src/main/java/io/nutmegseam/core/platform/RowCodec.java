package io.nutmegseam.core.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/** Encodes the system's own rows as JSON. Unknown fields of newer versions are passed over. */
public final class RowCodec {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private RowCodec() {}

  /**
   * Encodes a row value.
   *
   * @param value an immutable record
   * @return JSON text
   */
  public static String encode(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value cannot be encoded: " + value, e);
    }
  }

  /**
   * Decodes a row value.
   *
   * @param text JSON text
   * @param type the record's class
   * @return the value, or empty if the text is not one
   */
  public static <T> Optional<T> decode(String text, Class<T> type) {
    try {
      return Optional.ofNullable(MAPPER.readValue(text, type));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }
}
