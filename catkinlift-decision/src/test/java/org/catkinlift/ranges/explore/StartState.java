package org.catkinlift.ranges.explore;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;

/** A state from which a search begins. */
enum StartState {
  /** One upstream holds all keys. */
  ONE_HOLDER,

  /** Each of two upstreams holds half of the keys, and no call is in flight. */
  TWO_HOLDERS,

  /** Keys return to their last holder, while its answer to their release is on its way. */
  MOVED_BACK;

  /** Returns the steps that lead to this state from a system without assignments. */
  ImmutableList<Step> steps() {
    ImmutableList.Builder<Step> steps = ImmutableList.builder();
    steps.add(new Step.ListUpstreams(ImmutableSet.of(0)), new Step.Complete(1));
    switch (this) {
      case ONE_HOLDER -> {}
      case TWO_HOLDERS -> {
        steps.add(new Step.ListUpstreams(ImmutableSet.of(0, 1)));
        steps.add(new Step.Complete(2), new Step.Complete(3));
        steps.add(new Step.Wait(Duration.ofMillis(250)));
      }
      case MOVED_BACK -> {
        steps.add(new Step.ListUpstreams(ImmutableSet.of(1)), new Step.Deliver(2));
        steps.add(new Step.ListUpstreams(ImmutableSet.of(0)));
      }
    }
    return steps.build();
  }
}
