package io.nutmegseam.core.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies the content of a request, or of a part of it, by the first bits of its SHA-256 digest.
 *
 * @param bits the first 64 bits of the digest
 */
public record Fingerprint(long bits) {
  /** Returns a builder without content. */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public String toString() {
    return "%016x".formatted(bits);
  }

  /** Computes the fingerprint of a sequence of fields, each of which has a defined end. */
  public static final class Builder {
    private static final int LENGTH_BYTES = 4;
    private final MessageDigest digest;

    private Builder() {
      try {
        digest = MessageDigest.getInstance("SHA-256");
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException("every Java platform has SHA-256", e);
      }
    }

    /** Adds a text. */
    public Builder add(String text) {
      return add(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Adds the remaining bytes of a buffer. */
    public Builder add(ByteBuffer bytes) {
      digest.update(ByteBuffer.allocate(LENGTH_BYTES).putInt(bytes.remaining()).flip());
      digest.update(bytes);
      return this;
    }

    /** Returns the fingerprint of what was added. The builder must not be used any more. */
    public Fingerprint build() {
      return new Fingerprint(ByteBuffer.wrap(digest.digest()).getLong());
    }
  }
}
