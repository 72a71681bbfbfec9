package io.nutmegseam.node.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** Compares secrets in a time that does not reveal where they differ. */
public final class Secrets {
  private Secrets() {}

  /** Returns whether two secrets are equal. */
  public static boolean isEqual(String one, String other) {
    return MessageDigest.isEqual(
        one.getBytes(StandardCharsets.UTF_8), other.getBytes(StandardCharsets.UTF_8));
  }
}
