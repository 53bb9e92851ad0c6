package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSet.toImmutableSet;
import static com.google.common.collect.ImmutableSortedMap.toImmutableSortedMap;

import com.google.common.collect.BiMap;
import com.google.common.collect.HashBiMap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.routing.KeyHasher;

/**
 * Records the owners of one service's slots and overrides in one cell, and the pending releases.
 *
 * <p>A unit is a slot or an override, which places one key apart from its slot. The number of a
 * slot is its index; overrides are numbered from the slot count upwards.
 */
final class UnitTable {
  private final int slotCount;
  private final TreeMap<Integer, SlotOwner> owners = new TreeMap<>();
  private final TreeMap<Integer, Release> releases = new TreeMap<>();
  private final BiMap<String, Integer> overrides = HashBiMap.create();
  private int nextOverride;

  /**
   * The pending release of a unit by its owner.
   *
   * @param from the owner
   * @param epoch the epoch of the start, which is later than each grant of the unit to the owner
   * @param startedAt the start of the release, when the unit was withdrawn from the assignment
   * @param stoppedAt the time since which no dispatcher sends requests for the unit; {@code
   *     Long.MAX_VALUE} while a dispatcher may
   * @param progress the state reported by the owner
   */
  record Release(UpstreamId from, Epoch epoch, long startedAt, long stoppedAt, Progress progress) {
    /** The state of a release as reported by the owner. */
    enum Progress {
      REQUESTED,
      RUNNING,
      FINISHED
    }

    Release stoppedAt(long nanos) {
      return new Release(from, epoch, startedAt, nanos, progress);
    }

    Release asRunning() {
      return new Release(from, epoch, startedAt, stoppedAt, Progress.RUNNING);
    }

    Release asFinished() {
      return new Release(from, epoch, startedAt, stoppedAt, Progress.FINISHED);
    }

    boolean isRunning() {
      return progress == Progress.RUNNING;
    }

    boolean isFinished() {
      return progress == Progress.FINISHED;
    }
  }

  UnitTable(int slotCount) {
    this.slotCount = slotCount;
    this.nextOverride = slotCount;
  }

  /**
   * Replaces the owners by those of an assignment.
   *
   * <p>An assignment does not contain the pending releases, whose units it lists without an owner.
   * They are kept, and so are the numbers of the overrides, because an upstream may still hold
   * these units.
   */
  void load(Assignment assignment) {
    owners.clear();
    overrides.keySet().retainAll(assignment.overrides().keySet());
    owners.putAll(assignment.slots());
    assignment.overrides().forEach((key, owner) -> owners.put(allocateUnit(key), owner));
    releases.keySet().retainAll(owners.keySet());
  }

  /**
   * Retains only the units whose slot has its home in this cell, and adds missing slots without an
   * owner.
   */
  boolean retainHomeSlots(Set<Integer> homeSlots) {
    boolean changed = owners.keySet().removeIf(u -> !homeSlots.contains(slotOf(u)));
    releases.keySet().retainAll(owners.keySet());
    overrides.values().retainAll(owners.keySet());
    for (int slot : homeSlots) {
      changed |= owners.putIfAbsent(slot, SlotOwner.NONE) == null;
    }
    return changed;
  }

  int slotOf(int unit) {
    return unit < slotCount ? unit : KeyHasher.slotOf(overrides.inverse().get(unit), slotCount);
  }

  ImmutableSet<Integer> units() {
    return ImmutableSet.copyOf(owners.keySet());
  }

  Optional<UpstreamId> owner(int unit) {
    return Optional.ofNullable(owners.get(unit)).flatMap(SlotOwner::owner);
  }

  ImmutableSet<Integer> owned(Predicate<UpstreamId> filter) {
    return owners.entrySet().stream()
        .filter(e -> e.getValue().owner().filter(filter).isPresent())
        .map(Map.Entry::getKey)
        .collect(toImmutableSet());
  }

  /** Returns the units without an owner and without a pending release. */
  ImmutableSet<Integer> free() {
    return owners.entrySet().stream()
        .filter(e -> e.getValue().owner().isEmpty() && !releases.containsKey(e.getKey()))
        .map(Map.Entry::getKey)
        .collect(toImmutableSet());
  }

  ImmutableMap<Integer, Release> releases() {
    return ImmutableMap.copyOf(releases);
  }

  void startRelease(int unit, Epoch epoch, long nowNanos) {
    UpstreamId from = owner(unit).orElseThrow();
    owners.put(unit, new SlotOwner(Optional.empty(), epoch));
    releases.put(
        unit, new Release(from, epoch, nowNanos, Long.MAX_VALUE, Release.Progress.REQUESTED));
  }

  void update(int unit, Release release) {
    releases.computeIfPresent(unit, (u, r) -> release);
  }

  void endRelease(int unit) {
    releases.remove(unit);
  }

  void assign(int unit, UpstreamId owner, Epoch epoch) {
    owners.put(unit, SlotOwner.of(owner, epoch));
  }

  boolean hasOverride(String key) {
    return overrides.containsKey(key);
  }

  boolean hasSlotOwner(String key) {
    return owner(KeyHasher.slotOf(key, slotCount)).isPresent();
  }

  int overrideCount() {
    return overrides.size();
  }

  /** Adds an override for a key, which initially has the owner of its slot. */
  void addOverride(String key, Epoch keyEpoch, Epoch slotEpoch) {
    int slot = KeyHasher.slotOf(key, slotCount);
    UpstreamId owner = owner(slot).orElseThrow();
    owners.put(allocateUnit(key), SlotOwner.of(owner, keyEpoch));
    owners.put(slot, SlotOwner.of(owner, slotEpoch));
  }

  /** Removes an override that has no owner and returns its key. */
  String removeOverride(int unit) {
    owners.remove(unit);
    return overrides.inverse().remove(unit);
  }

  ImmutableMap<String, Integer> overrides() {
    return ImmutableMap.copyOf(overrides);
  }

  Optional<Integer> unitOf(String key) {
    return Optional.ofNullable(overrides.get(key));
  }

  private int allocateUnit(String key) {
    return overrides.computeIfAbsent(key, k -> nextOverride++);
  }

  ImmutableSortedMap<Integer, Epoch> slotsOf(UpstreamId upstream) {
    return owned(upstream::equals).stream()
        .filter(u -> u < slotCount)
        .collect(
            toImmutableSortedMap(Comparator.naturalOrder(), u -> u, u -> owners.get(u).epoch()));
  }

  ImmutableSortedMap<String, Epoch> overridesOf(UpstreamId upstream) {
    return owned(upstream::equals).stream()
        .filter(u -> u >= slotCount)
        .collect(
            toImmutableSortedMap(
                Comparator.naturalOrder(),
                u -> overrides.inverse().get(u),
                u -> owners.get(u).epoch()));
  }

  /** Returns the key of an override; empty for a slot. */
  Optional<String> keyOf(int unit) {
    return Optional.ofNullable(overrides.inverse().get(unit));
  }

  Assignment toAssignment(ServiceName service, CellId cell, Epoch version) {
    return new Assignment(
        service,
        cell,
        version,
        ImmutableSortedMap.copyOf(owners.headMap(slotCount)),
        owners.tailMap(slotCount).entrySet().stream()
            .collect(
                toImmutableMap(e -> overrides.inverse().get(e.getKey()), Map.Entry::getValue)));
  }
}
