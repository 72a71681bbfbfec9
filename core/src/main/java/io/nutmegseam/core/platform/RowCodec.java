package io.nutmegseam.core.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/** Encodes and decodes row values as JSON. Unknown fields, as of newer versions, are ignored. */
public final class RowCodec {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private RowCodec() {}

  /**
   * Encodes a row value.
   *
   * @param value the value, an instance of an immutable record class
   * @return the value as JSON text
   */
  public static String encode(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value cannot be encoded as JSON: " + value, e);
    }
  }

  /**
   * Decodes a row value.
   *
   * @param text the value as JSON text
   * @param type class of the value
   * @return the value, or empty if the text is not a valid value of the class
   */
  public static <T> Optional<T> decode(String text, Class<T> type) {
    try {
      return Optional.ofNullable(MAPPER.readValue(text, type));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }
}
