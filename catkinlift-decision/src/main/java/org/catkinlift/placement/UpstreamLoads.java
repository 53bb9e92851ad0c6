package org.catkinlift.placement;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.catkinlift.model.UpstreamId;

/** Tracks the load of each upstream while a plan moves slots one by one. Not thread-safe. */
final class UpstreamLoads {
  /**
   * The minimum load of a slot, relative to the mean load of a slot, so that idle slots are spread
   * too.
   */
  private static final double MIN_LOAD_SHARE = 0.01;

  private final PlacementInput input;
  private final Map<Integer, Optional<UpstreamId>> owners;
  private final Map<UpstreamId, Double> sums = new TreeMap<>();
  private final Map<Integer, Double> loads = new HashMap<>();

  UpstreamLoads(PlacementInput input) {
    this.input = input;
    this.owners = new TreeMap<>(input.owners());
    double total = input.loads().values().stream().mapToDouble(Double::doubleValue).sum();
    double minLoad = total > 0 ? total / Math.max(1, owners.size()) * MIN_LOAD_SHARE : 1;
    // A slot without a report, for example one that came from another cell, counts with the mean
    // load of the reported slots. If it counted as idle, all slots that arrive together would go to
    // the same upstream.
    double meanLoad = input.loads().values().stream().mapToDouble(v -> v).average().orElse(0);
    owners
        .keySet()
        .forEach(s -> loads.put(s, Math.max(minLoad, input.loads().getOrDefault(s, meanLoad))));
    input.capacities().keySet().forEach(u -> sums.put(u, 0.0));
    owners.forEach((slot, owner) -> owner.ifPresent(u -> add(u, loadOf(slot))));
  }

  double loadOf(int slot) {
    return loads.get(slot);
  }

  boolean isOwned(int slot) {
    return owners.get(slot).filter(sums::containsKey).isPresent();
  }

  double imbalance() {
    return Imbalance.of(sums, input.capacities());
  }

  /**
   * Returns whether the load of any upstream exceeds a multiple of the mean by more than the given
   * number of standard errors.
   */
  boolean isSignificantlyAbove(double limit, double standardErrors) {
    double mean = Imbalance.mean(sums, input.capacities());
    return sums.keySet().stream()
        .anyMatch(
            u -> loadPerCapacity(u) - standardErrors * loadPerCapacityError(u) > limit * mean);
  }

  private double loadPerCapacityError(UpstreamId upstream) {
    double squares =
        owners.entrySet().stream()
            .filter(e -> e.getValue().filter(upstream::equals).isPresent())
            .mapToDouble(e -> input.squaredErrors().getOrDefault(e.getKey(), 0.0))
            .sum();
    return Math.sqrt(squares) / capacity(upstream);
  }

  UpstreamId mostLoaded() {
    return sums.keySet().stream()
        .max(Comparator.comparingDouble(this::loadPerCapacity))
        .orElseThrow();
  }

  UpstreamId leastLoaded() {
    return sums.keySet().stream()
        .min(Comparator.comparingDouble(this::loadPerCapacity))
        .orElseThrow();
  }

  /** Returns the upstream with the lowest load per capacity once it also owns the slot. */
  UpstreamId leastLoadedAfter(int slot) {
    return sums.keySet().stream()
        .min(Comparator.comparingDouble(u -> (sums.get(u) + loadOf(slot)) / capacity(u)))
        .orElseThrow();
  }

  /** Returns the load above which a move would make the receiver the more loaded of the two. */
  double maxMovableLoad(UpstreamId from, UpstreamId to) {
    double gap = loadPerCapacity(from) - loadPerCapacity(to);
    return gap / (1 / capacity(from) + 1 / capacity(to));
  }

  ImmutableList<Integer> movableSlots(UpstreamId owner) {
    return owners.entrySet().stream()
        .filter(e -> e.getValue().filter(owner::equals).isPresent())
        .map(Map.Entry::getKey)
        .filter(s -> !input.pinned().contains(s))
        .collect(toImmutableList());
  }

  SlotMove move(int slot, UpstreamId to) {
    Optional<UpstreamId> from = owners.put(slot, Optional.of(to));
    from.ifPresent(u -> add(u, -loadOf(slot)));
    add(to, loadOf(slot));
    return new SlotMove(slot, from, to);
  }

  private void add(UpstreamId upstream, double load) {
    sums.computeIfPresent(upstream, (u, sum) -> sum + load);
  }

  private double loadPerCapacity(UpstreamId upstream) {
    return sums.get(upstream) / capacity(upstream);
  }

  private double capacity(UpstreamId upstream) {
    return input.capacities().get(upstream);
  }
}
