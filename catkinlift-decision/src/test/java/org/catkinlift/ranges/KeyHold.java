package org.catkinlift.ranges;

/**
 * What an upstream holds of a key.
 *
 * @param fence the fencing token of the last grant
 * @param expiryNanos the end of the hold
 * @param countedExpiryNanos the end of the hold without grants that the rules do not count
 */
record KeyHold(long fence, long expiryNanos, long countedExpiryNanos) {
  static final KeyHold NONE = new KeyHold(0, 0, 0);

  KeyHold extend(long newFence, long newExpiryNanos, boolean isCounted) {
    return new KeyHold(
        newFence,
        Math.max(expiryNanos, newExpiryNanos),
        isCounted ? Math.max(countedExpiryNanos, newExpiryNanos) : countedExpiryNanos);
  }

  KeyHold released() {
    return new KeyHold(fence, 0, 0);
  }

  /** Returns this hold, or a later one of the same key as far as it lasts longer. */
  KeyHold or(KeyHold later) {
    return new KeyHold(
        later.fence,
        Math.max(expiryNanos, later.expiryNanos),
        Math.max(countedExpiryNanos, later.countedExpiryNanos));
  }
}
