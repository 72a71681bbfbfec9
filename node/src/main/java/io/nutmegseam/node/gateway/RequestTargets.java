package io.nutmegseam.node.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Decodes the targets of requests, which are forwarded with the same bytes. */
final class RequestTargets {
  private static final char MAX_ASCII = 0x7F;

  private RequestTargets() {}

  /**
   * Returns the text of a target. The decoder of requests has made one character of each byte, and
   * the encoder writes UTF-8.
   *
   * @param target the target, with one character a byte
   * @return the text; empty if the bytes are not valid UTF-8
   */
  static Optional<String> decode(String target) {
    if (target.chars().allMatch(character -> character <= MAX_ASCII)) {
      return Optional.of(target);
    }
    ByteBuffer bytes = ByteBuffer.wrap(target.getBytes(StandardCharsets.ISO_8859_1));
    try {
      return Optional.of(StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
    } catch (CharacterCodingException e) {
      return Optional.empty();
    }
  }
}
