package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;

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

  /** Returns whether all keys of another range are in this one. */
  public boolean contains(KeyRange other) {
    return first <= other.first && other.last <= last;
  }

  /** Returns the parts of this range without the keys of another one, in key order. */
  public ImmutableList<KeyRange> minus(KeyRange other) {
    if (!overlaps(other)) {
      return ImmutableList.of(this);
    }
    ImmutableList.Builder<KeyRange> parts = ImmutableList.builder();
    if (first < other.first) {
      parts.add(new KeyRange(first, other.first - 1));
    }
    if (other.last < last) {
      parts.add(new KeyRange(other.last + 1, last));
    }
    return parts.build();
  }

  /** Returns whether the two ranges have at least one key in common. */
  public boolean overlaps(KeyRange other) {
    return first <= other.last && other.first <= last;
  }

  /** Returns a number of keys at the start of this range. */
  KeyRange firstKeys(int count) {
    return new KeyRange(first, first + count - 1);
  }

  /** Returns a number of keys at the end of this range. */
  KeyRange lastKeys(int count) {
    return new KeyRange(last - count + 1, last);
  }

  public int size() {
    return last - first + 1;
  }

  @Override
  public String toString() {
    return first + "-" + last;
  }
}
