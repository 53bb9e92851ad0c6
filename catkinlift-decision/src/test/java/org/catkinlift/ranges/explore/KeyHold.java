package org.catkinlift.ranges.explore;

/**
 * What one process of an upstream knows of a key.
 *
 * @param highestFence the highest fencing token seen; 0 without any
 * @param heldFence the fencing token of the last grant; 0 without any
 * @param expiryNanos when the hold ends; 0 after a release
 * @param workExpiryNanos when work on the key ends at the latest; a release does not change it
 */
record KeyHold(long highestFence, long heldFence, long expiryNanos, long workExpiryNanos) {
  static final KeyHold NONE = new KeyHold(0, 0, 0, 0);

  KeyHold granted(long fence, long newExpiryNanos) {
    return new KeyHold(
        Math.max(highestFence, fence),
        fence,
        Math.max(expiryNanos, newExpiryNanos),
        Math.max(workExpiryNanos, newExpiryNanos));
  }

  KeyHold released(long fence) {
    return new KeyHold(Math.max(highestFence, fence), heldFence, 0, workExpiryNanos);
  }
}
