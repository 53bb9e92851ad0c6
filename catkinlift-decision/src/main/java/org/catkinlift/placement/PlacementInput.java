package org.catkinlift.placement;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Optional;
import org.catkinlift.model.UpstreamId;

/**
 * The input for planning the placement of slots.
 *
 * @param owners the current owner of each slot; empty for a slot without one
 * @param loads the load of each slot; a slot without an entry counts as an average slot
 * @param squaredErrors the squared standard error of the load of each slot; a slot without an entry
 *     has none
 * @param capacities the capacity of each upstream that may own slots; all positive
 * @param pinned the slots that must not be moved for balance, because they were moved recently
 */
public record PlacementInput(
    ImmutableSortedMap<Integer, Optional<UpstreamId>> owners,
    ImmutableMap<Integer, Double> loads,
    ImmutableMap<Integer, Double> squaredErrors,
    ImmutableMap<UpstreamId, Double> capacities,
    ImmutableSet<Integer> pinned) {

  /**
   * Creates an input whose loads are exact.
   *
   * @param owners the current owner of each slot; empty for a slot without one
   * @param loads the load of each slot; a slot without an entry counts as an average slot
   * @param capacities the capacity of each upstream that may own slots; all positive
   * @param pinned the slots that must not be moved for balance, because they were moved recently
   */
  public PlacementInput(
      ImmutableSortedMap<Integer, Optional<UpstreamId>> owners,
      ImmutableMap<Integer, Double> loads,
      ImmutableMap<UpstreamId, Double> capacities,
      ImmutableSet<Integer> pinned) {
    this(owners, loads, ImmutableMap.of(), capacities, pinned);
  }
}
