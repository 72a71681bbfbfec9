package io.nutmegseam.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Rendezvous hashing: every node picks the same member for a key without any message. */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX_ONE = 0xff51afd7ed558ccdL;
  private static final long MIX_TWO = 0xc4ceb9fe1a85ec53L;
  private static final int MIX_SHIFT = 33;

  private RendezvousHash() {}

  /**
   * Returns the member with the highest weight for a key.
   *
   * @param key the key
   * @param members the members; their order does not matter
   */
  public static Optional<String> pick(String key, Collection<String> members) {
    return members.stream()
        .max(
            Comparator.<String>comparingLong(member -> weight(key, member))
                .thenComparing(Comparator.naturalOrder()));
  }

  /** Returns the weight of a member for a key. */
  public static long weight(String key, String member) {
    long hash = FNV_OFFSET;
    for (byte b : (key + "\n" + member).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_ONE;
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_TWO;
    return (hash ^ (hash >>> MIX_SHIFT)) >>> 1;
  }
}
