package io.nutmegseam.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Rendezvous hashing: all nodes pick the same member for a key without communication. */
public final class RendezvousHash {
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MURMUR_MIX_ONE = 0xff51afd7ed558ccdL;
  private static final long MURMUR_MIX_TWO = 0xc4ceb9fe1a85ec53L;
  private static final int MURMUR_MIX_SHIFT = 33;

  private RendezvousHash() {}

  /**
   * Returns the member with the highest weight for a key.
   *
   * @param key the key
   * @param members the members, in any order
   */
  public static Optional<String> pick(String key, Collection<String> members) {
    return members.stream()
        .max(
            Comparator.<String>comparingLong(member -> weight(key, member))
                .thenComparing(Comparator.naturalOrder()));
  }

  /** Returns the weight of a member for a key: an FNV-1a hash with the MurmurHash3 finalizer. */
  public static long weight(String key, String member) {
    long hash = FNV_OFFSET_BASIS;
    for (byte b : (key + "\n" + member).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> MURMUR_MIX_SHIFT)) * MURMUR_MIX_ONE;
    hash = (hash ^ (hash >>> MURMUR_MIX_SHIFT)) * MURMUR_MIX_TWO;
    return (hash ^ (hash >>> MURMUR_MIX_SHIFT)) >>> 1;
  }
}
