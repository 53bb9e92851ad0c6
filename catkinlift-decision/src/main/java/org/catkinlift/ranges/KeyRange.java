package org.catkinlift.ranges;

/**
 * A run of neighbouring keys.
 *
 * @param first the lowest key
 * @param last the highest key; not below {@code first}
 */
public record KeyRange(int first, int last) {
  /** The number of keys that a service is divided by. */
  public static final int KEY_COUNT = 65_536;

  /** All keys. */
  public static final KeyRange ALL = new KeyRange(0, KEY_COUNT - 1);

  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException if the bounds are out of order or outside the keys
   */
  public KeyRange {
    if (first < 0 || last >= KEY_COUNT || first > last) {
      throw new IllegalArgumentException("not a range of keys: " + first + " to " + last);
    }
  }

  /**
   * Tells whether a key lies in the range.
   *
   * @param key the key
   * @return true if it does
   */
  public boolean contains(int key) {
    return first <= key && key <= last;
  }

  /**
   * Tells whether two ranges share a key.
   *
   * @param other the other range
   * @return true if they do
   */
  public boolean overlaps(KeyRange other) {
    return first <= other.last && other.first <= last;
  }

  /**
   * Returns the number of keys.
   *
   * @return the number, at least 1
   */
  public int size() {
    return last - first + 1;
  }

  @Override
  public String toString() {
    return first + "-" + last;
  }
}
