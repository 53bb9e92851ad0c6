package org.catkinlift.ranges;

/**
 * A range of consecutive keys.
 *
 * @param first the lowest key
 * @param last the highest key, inclusive; not below {@code first}
 */
public record KeyRange(int first, int last) {
  /** The number of keys of each keyed service. */
  public static final int KEY_COUNT = 65_536;

  /** The range of all keys. */
  public static final KeyRange ALL = new KeyRange(0, KEY_COUNT - 1);

  /**
   * Creates a range.
   *
   * @throws IllegalArgumentException if the bounds are out of order or outside the key space
   */
  public KeyRange {
    if (first < 0 || last >= KEY_COUNT || first > last) {
      throw new IllegalArgumentException("invalid key range: " + first + " to " + last);
    }
  }

  public boolean contains(int key) {
    return first <= key && key <= last;
  }

  /** Returns whether the two ranges have at least one key in common. */
  public boolean overlaps(KeyRange other) {
    return first <= other.last && other.first <= last;
  }

  public int size() {
    return last - first + 1;
  }

  @Override
  public String toString() {
    return first + "-" + last;
  }
}
