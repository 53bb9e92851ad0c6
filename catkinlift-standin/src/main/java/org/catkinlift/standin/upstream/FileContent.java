package org.catkinlift.standin.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;

/** Generates file content deterministically from the file name, so that receivers can verify it. */
public final class FileContent {

  private static final int POSITION_STEP = 31;

  private FileContent() {}

  /**
   * Derives the content seed from a file name.
   *
   * @param name the name of the file
   * @return the seed for {@link #byteAt}
   */
  public static int seedOf(String name) {
    return Hashing.farmHashFingerprint64().hashString(name, UTF_8).hashCode();
  }

  /**
   * Returns one byte of a file.
   *
   * @param seed the seed of the file
   * @param offset the zero-based position of the byte
   * @return the byte
   */
  public static byte byteAt(int seed, long offset) {
    return (byte) (seed + offset * POSITION_STEP + (offset >>> 8));
  }

  /**
   * Returns a chunk of a file.
   *
   * @param seed the seed of the file
   * @param offset the position of the first byte
   * @param length the number of bytes
   * @return the bytes
   */
  public static byte[] chunk(int seed, long offset, int length) {
    var bytes = new byte[length];
    for (int i = 0; i < length; i++) {
      bytes[i] = byteAt(seed, offset + i);
    }
    return bytes;
  }
}
