package io.nutmegseam.core.tenant;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Reads API keys from the values of a request's {@code Authorization} headers. */
public final class ApiKeyParser {
  /** Longest accepted key, in characters. */
  public static final int MAX_KEY_LENGTH = 256;

  private static final String SCHEME = "bearer ";

  private ApiKeyParser() {}

  /**
   * Returns the key of a request; empty unless there is exactly one header, its scheme is Bearer
   * and the key is not too long.
   *
   * @param values values of the {@code Authorization} headers
   */
  public static Optional<String> parse(List<String> values) {
    if (values.size() != 1) {
      return Optional.empty();
    }
    String value = values.get(0).strip();
    if (!value.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
      return Optional.empty();
    }
    String key = value.substring(SCHEME.length()).strip();
    return key.isEmpty() || key.length() > MAX_KEY_LENGTH ? Optional.empty() : Optional.of(key);
  }

  /** Returns whether any word of a header's value is a key of a tenant, whatever its scheme. */
  public static boolean hasKnownKey(String value, Tenants tenants) {
    for (String word : value.split("[\\s,]+", -1)) {
      if (tenants.byKey(word).isPresent()) {
        return true;
      }
    }
    return tenants.byKey(value.substring(value.indexOf(' ') + 1).strip()).isPresent();
  }
}
