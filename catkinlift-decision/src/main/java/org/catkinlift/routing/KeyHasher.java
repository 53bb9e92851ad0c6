package org.catkinlift.routing;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/** Maps keys to hash slots. */
public final class KeyHasher {
  private static final HashFunction HASH = Hashing.farmHashFingerprint64();

  private KeyHasher() {}

  /**
   * Returns the slot of a key.
   *
   * <p>All daemons of all versions must compute the same slot, so the hash is a fingerprint
   * function whose results never change.
   *
   * @param key the key
   * @param slotCount the number of slots, a power of two
   * @return the slot index, from 0
   */
  public static int slotOf(String key, int slotCount) {
    return (int) (HASH.hashString(key, UTF_8).asLong() & (slotCount - 1));
  }
}
