package org.catkinlift.plans;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;

/**
 * Predicts which slots of a keyed service move when the configuration changes.
 *
 * <p>The slots of a removed upstream go to the upstreams with the fewest slots per capacity, within
 * the same cell if any of its upstreams remain. An added upstream gets its fair share from the
 * upstreams that have more than theirs.
 */
final class MovePrediction {
  private final ServiceDefinition service;
  private final int slotCount;
  private final ImmutableList<UpstreamDefinition> targets;
  private final ImmutableMap<UpstreamId, Integer> before;
  private final Map<UpstreamId, Integer> after;
  private final Map<OwnerChange, Integer> slotsByOwnerChange = new LinkedHashMap<>();

  private record OwnerChange(Optional<UpstreamId> from, Optional<UpstreamId> to) {}

  /**
   * The predicted moves of one service.
   *
   * @param moves the moves
   * @param slotsAfter the number of slots of each upstream afterwards
   */
  record Prediction(ImmutableList<Plan.Move> moves, ImmutableMap<UpstreamId, Integer> slotsAfter) {}

  private MovePrediction(
      ServiceDefinition service,
      int slotCount,
      Configuration result,
      ImmutableMap<UpstreamId, Integer> before) {
    this.service = service;
    this.slotCount = slotCount;
    this.targets =
        result.services().containsKey(service.name())
            ? service.upstreams().stream().filter(result::admits).collect(toImmutableList())
            : ImmutableList.of();
    this.before = before;
    this.after = new HashMap<>(before);
  }

  /**
   * Predicts the moves of one service; there are none if the service is not keyed.
   *
   * @param service the new definition, or the old one if the service is removed
   * @param result the configuration after the change
   * @param assignments the current assignments of the service
   */
  static Prediction of(
      ServiceDefinition service, Configuration result, ImmutableList<Assignment> assignments) {
    return switch (service.kind()) {
      case ServiceKind.Shared s -> new Prediction(ImmutableList.of(), ImmutableMap.of());
      case ServiceKind.Keyed k ->
          new MovePrediction(service, k.slotCount(), result, slotsByOwner(assignments)).predict();
    };
  }

  private static ImmutableMap<UpstreamId, Integer> slotsByOwner(
      ImmutableList<Assignment> assignments) {
    var slots = new HashMap<UpstreamId, Integer>();
    assignments.stream()
        .flatMap(a -> a.slots().values().stream())
        .map(SlotOwner::owner)
        .flatMap(Optional::stream)
        .forEach(u -> slots.merge(u, 1, Integer::sum));
    return ImmutableMap.copyOf(slots);
  }

  private Prediction predict() {
    int owned = before.values().stream().mapToInt(Integer::intValue).sum();
    ImmutableSet<UpstreamId> remaining =
        targets.stream().map(UpstreamDefinition::id).collect(toImmutableSet());
    before.keySet().stream().filter(u -> !remaining.contains(u)).sorted().forEach(u -> evacuate(u));
    if (!targets.isEmpty()) {
      distribute(Optional.empty(), slotCount - owned, targets);
    }
    if (owned > 0) {
      targets.stream().filter(u -> !before.containsKey(u.id())).forEach(this::fillToFairShare);
    }
    return new Prediction(moves(), ImmutableMap.copyOf(after));
  }

  private void evacuate(UpstreamId upstream) {
    int slots = before.get(upstream);
    after.remove(upstream);
    ImmutableList<UpstreamDefinition> sameCellTargets =
        service.upstreams().stream()
            .filter(u -> u.id().equals(upstream))
            .flatMap(u -> targets.stream().filter(t -> t.cell().equals(u.cell())))
            .collect(toImmutableList());
    distribute(Optional.of(upstream), slots, sameCellTargets.isEmpty() ? targets : sameCellTargets);
  }

  private void distribute(
      Optional<UpstreamId> from, int slots, ImmutableList<UpstreamDefinition> to) {
    if (slots == 0) {
      return;
    }
    if (to.isEmpty()) {
      slotsByOwnerChange.merge(new OwnerChange(from, Optional.empty()), slots, Integer::sum);
      return;
    }
    WaterFilling.divide(slots, to, ImmutableMap.copyOf(after))
        .forEach((target, count) -> recordMove(from, target, count));
  }

  private void recordMove(Optional<UpstreamId> from, UpstreamId to, int count) {
    after.merge(to, count, Integer::sum);
    slotsByOwnerChange.merge(new OwnerChange(from, Optional.of(to)), count, Integer::sum);
  }

  /** Moves slots from the upstreams with a surplus until the new upstream has its fair share. */
  private void fillToFairShare(UpstreamDefinition upstream) {
    int deficit = fairShare(upstream) - after.getOrDefault(upstream.id(), 0);
    for (UpstreamDefinition donor : targets) {
      int surplus = after.getOrDefault(donor.id(), 0) - fairShare(donor);
      int count = Math.min(surplus, deficit);
      if (count > 0) {
        after.merge(donor.id(), -count, Integer::sum);
        recordMove(Optional.of(donor.id()), upstream.id(), count);
        deficit -= count;
      }
    }
  }

  private int fairShare(UpstreamDefinition upstream) {
    long capacity = targets.stream().mapToLong(UpstreamDefinition::concurrencyLimit).sum();
    return (int) ((long) slotCount * upstream.concurrencyLimit() / capacity);
  }

  private ImmutableList<Plan.Move> moves() {
    ServiceName name = service.name();
    return slotsByOwnerChange.entrySet().stream()
        .map(e -> new Plan.Move(name, e.getKey().from(), e.getKey().to(), e.getValue()))
        .collect(toImmutableList());
  }
}
