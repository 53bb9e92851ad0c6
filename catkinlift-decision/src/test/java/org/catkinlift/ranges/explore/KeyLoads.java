package org.catkinlift.ranges.explore;

import java.time.Duration;
import org.catkinlift.ranges.KeyLoad;

/**
 * The loads that the systems of one thread share, because a load of its own for each would cost
 * most of a search. They hardly change while a sequence of steps lasts.
 */
final class KeyLoads {
  private static final Duration TIME_CONSTANT = Duration.ofHours(1);

  /** Service time that makes a key keep three quarters of an upstream's slots busy. */
  private static final double SECONDS_OF_BUSY_KEY = 3 * 0.63 * TIME_CONSTANT.toSeconds();

  private final KeyLoad idle = newLoad();
  private final KeyLoad busy = newLoad();

  /** Creates the loads with and without busy keys. */
  KeyLoads() {
    busy.add(ExploredSystem.BUSY_KEY, SECONDS_OF_BUSY_KEY);
    busy.add(ExploredSystem.BUSY_KEY + 1, SECONDS_OF_BUSY_KEY);
  }

  private static KeyLoad newLoad() {
    var load = new KeyLoad(TIME_CONSTANT, -TIME_CONSTANT.toNanos());
    load.decay(0);
    return load;
  }

  KeyLoad of(boolean hasBusyKeys) {
    return hasBusyKeys ? busy : idle;
  }
}
