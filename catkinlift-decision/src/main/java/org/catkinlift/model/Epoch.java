package org.catkinlift.model;

import java.util.Comparator;

/**
 * A number pair that orders the successive owners of a slot and the versions of replicated values.
 *
 * <p>The term is taken from the cell's row in the platform, and the counter is assigned by the
 * coordinator that holds this term, so a coordinator can issue new epochs while the platform is
 * down.
 *
 * @param term the term of the coordinator that issued the epoch; not negative
 * @param counter the number of the epoch within its term; not negative
 */
public record Epoch(long term, long counter) implements Comparable<Epoch> {
  /** The epoch of a slot that never had an owner. */
  public static final Epoch NONE = new Epoch(0, 0);

  private static final Comparator<Epoch> ORDER =
      Comparator.comparingLong(Epoch::term).thenComparingLong(Epoch::counter);

  /**
   * Returns an epoch.
   *
   * @param term the coordinator's term
   * @param counter the number within the term
   * @return the epoch
   */
  public static Epoch of(long term, long counter) {
    return new Epoch(term, counter);
  }

  /**
   * Returns whether this epoch is later than another one.
   *
   * @param other the other epoch
   * @return true if this epoch is later
   */
  public boolean isAfter(Epoch other) {
    return compareTo(other) > 0;
  }

  @Override
  public int compareTo(Epoch other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return term + "." + counter;
  }
}
