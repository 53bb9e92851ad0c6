package org.catkinlift.plans;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;

/**
 * Distributes slots by water-filling: slots go to the upstreams with the fewest slots per capacity.
 *
 * <p>The share of each upstream is computed directly, because distributing a million slots one by
 * one would occupy the control thread for longer than a heartbeat interval.
 */
final class WaterFilling {
  private WaterFilling() {}

  private record Target(UpstreamId id, int slots, int capacity) {
    double level() {
      return (double) slots / capacity;
    }

    Target withOneMore() {
      return new Target(id, slots + 1, capacity);
    }
  }

  /** Returns how many of {@code count} new slots each upstream gets. */
  static ImmutableMap<UpstreamId, Integer> divide(
      int count,
      ImmutableList<UpstreamDefinition> upstreams,
      ImmutableMap<UpstreamId, Integer> currentSlots) {
    if (upstreams.isEmpty() || count == 0) {
      return ImmutableMap.of();
    }
    ImmutableList<Target> targets =
        upstreams.stream()
            .map(
                u -> new Target(u.id(), currentSlots.getOrDefault(u.id(), 0), u.concurrencyLimit()))
            .sorted(Comparator.comparingDouble(Target::level))
            .collect(ImmutableList.toImmutableList());
    double level = level(count, targets);
    var filled =
        new PriorityQueue<Target>(
            Comparator.comparingDouble(Target::level).thenComparing(Target::id));
    int remaining = count;
    for (Target target : targets) {
      int added = Math.max(0, (int) Math.floor(level * target.capacity()) - target.slots());
      filled.add(new Target(target.id(), target.slots() + added, target.capacity()));
      remaining -= added;
    }
    while (remaining > 0) {
      filled.add(filled.remove().withOneMore());
      remaining--;
    }
    return additions(filled, currentSlots);
  }

  /** Returns the slots per capacity up to which all upstreams below this level are filled. */
  private static double level(int count, ImmutableList<Target> targets) {
    double slots = count;
    double capacity = 0;
    double level = 0;
    for (Target target : targets) {
      if (capacity > 0 && target.level() >= level) {
        return level;
      }
      slots += target.slots();
      capacity += target.capacity();
      level = slots / capacity;
    }
    return level;
  }

  private static ImmutableMap<UpstreamId, Integer> additions(
      Iterable<Target> filled, ImmutableMap<UpstreamId, Integer> currentSlots) {
    var additions = ImmutableMap.<UpstreamId, Integer>builder();
    for (Target target : filled) {
      int added = target.slots() - currentSlots.getOrDefault(target.id(), 0);
      if (added > 0) {
        additions.put(target.id(), added);
      }
    }
    return additions.buildOrThrow();
  }
}
