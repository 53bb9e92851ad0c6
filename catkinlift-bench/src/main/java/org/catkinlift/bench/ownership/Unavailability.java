package org.catkinlift.bench.ownership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.BitSet;

/** Measures how long slots are not served while time moves forward. */
final class Unavailability {
  private static final Duration STEP = Duration.ofMillis(50);

  private final OwnershipWorld world;
  private final int[] gapSteps;
  private final BitSet interrupted = new BitSet();
  private int longestSteps;

  Unavailability(OwnershipWorld world) {
    this.world = world;
    this.gapSteps = new int[world.slotCount()];
  }

  /** Moves time forward and samples every slot. */
  void advance(Duration duration) {
    for (long i = 0; i < duration.dividedBy(STEP); i++) {
      world.advance(STEP);
      sample();
    }
  }

  private void sample() {
    BitSet served = world.servedSlots();
    var unserved = new BitSet();
    unserved.set(0, gapSteps.length);
    unserved.andNot(served);
    interrupted.or(unserved);
    for (int slot = 0; slot < gapSteps.length; slot++) {
      gapSteps[slot] = served.get(slot) ? 0 : gapSteps[slot] + 1;
      longestSteps = Math.max(longestSteps, gapSteps[slot]);
    }
  }

  /** Returns the longest time for which one slot was not served. */
  Duration longest() {
    return STEP.multipliedBy(longestSteps);
  }

  /** Returns the slots that were not served at some time. */
  ImmutableSet<Integer> interrupted() {
    return interrupted.stream().boxed().collect(toImmutableSet());
  }

  /** Returns the share of slots that are served now. */
  double servedShare() {
    return (double) world.servedSlots().cardinality() / gapSteps.length;
  }
}
