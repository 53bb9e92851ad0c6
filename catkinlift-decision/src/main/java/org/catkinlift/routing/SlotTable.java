package org.catkinlift.routing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import java.util.Arrays;
import java.util.HashMap;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.PackedSlots;
import org.catkinlift.model.SlotOwner;

/**
 * Finds the owner of a key in constant time. Immutable.
 *
 * <p>The table uses 6 bytes per slot: the index of the assignment in force and the position of the
 * slot in it. The owners stay in the assignments, which are in memory anyway.
 */
public final class SlotTable {
  /** The placeholder at index 0 for slots that no cell has assigned. */
  private static final PackedSlots UNASSIGNED = PackedSlots.copyOf(ImmutableMap.of());

  private final char[] assignmentIndexes;
  private final int[] positions;
  private final ImmutableList<PackedSlots> slotsByAssignment;
  private final ImmutableMap<String, SlotOwner> overrides;

  private SlotTable(
      char[] assignmentIndexes,
      ImmutableList<PackedSlots> slotsByAssignment,
      ImmutableMap<String, SlotOwner> overrides) {
    this.assignmentIndexes = assignmentIndexes;
    this.positions = new int[assignmentIndexes.length];
    Arrays.setAll(positions, slot -> slotsByAssignment.get(assignmentIndexes[slot]).position(slot));
    this.slotsByAssignment = slotsByAssignment;
    this.overrides = overrides;
  }

  /**
   * Builds the table of one service from the assignments of its cells.
   *
   * @param slotCount the number of slots of the service
   * @param assignments the assignment of each cell, at most 65,534
   * @return the table
   */
  public static SlotTable of(int slotCount, Iterable<Assignment> assignments) {
    ImmutableList<PackedSlots> slotsByAssignment = slotsByAssignment(assignments);
    var assignmentIndexes = new char[slotCount];
    for (int i = 1; i < slotsByAssignment.size(); i++) {
      PackedSlots slots = slotsByAssignment.get(i);
      for (int slot : slots.keySet()) {
        Epoch currentEpoch = slotsByAssignment.get(assignmentIndexes[slot]).ownerOf(slot).epoch();
        if (slots.ownerOf(slot).epoch().isAfter(currentEpoch)) {
          assignmentIndexes[slot] = (char) i;
        }
      }
    }
    var overrides = ImmutableMap.<String, SlotOwner>builder();
    assignments.forEach(a -> overrides.putAll(a.overrides()));
    return new SlotTable(assignmentIndexes, slotsByAssignment, overrides.buildKeepingLast());
  }

  /**
   * Builds the table of one service, using for each slot only the assignment of its home cell.
   *
   * <p>Epochs of different cells are not comparable, and the assignment of a lost cell is still
   * stored, so only the home map determines which cell's entry is in force.
   *
   * @param homes the home map of the service
   * @param assignments the assignment of each cell, at most 65,534
   * @return the table
   */
  public static SlotTable of(HomeMap homes, Iterable<Assignment> assignments) {
    int slotCount = homes.homes().size();
    var assignmentIndexes = new char[slotCount];
    var indexByCell = new HashMap<CellId, Integer>();
    int index = 0;
    for (Assignment assignment : assignments) {
      index++;
      indexByCell.put(assignment.cell(), index);
    }
    for (int slot = 0; slot < slotCount; slot++) {
      assignmentIndexes[slot] =
          (char) indexByCell.getOrDefault(homes.homes().get(slot), 0).intValue();
    }
    var overrides = ImmutableMap.<String, SlotOwner>builder();
    for (Assignment assignment : assignments) {
      CellId cell = assignment.cell();
      assignment.overrides().entrySet().stream()
          .filter(e -> homes.homes().get(KeyHasher.slotOf(e.getKey(), slotCount)).equals(cell))
          .forEach(overrides::put);
    }
    return new SlotTable(
        assignmentIndexes, slotsByAssignment(assignments), overrides.buildKeepingLast());
  }

  private static ImmutableList<PackedSlots> slotsByAssignment(Iterable<Assignment> assignments) {
    ImmutableList<PackedSlots> slotsByAssignment =
        ImmutableList.<PackedSlots>builder()
            .add(UNASSIGNED)
            .addAll(Iterables.transform(assignments, Assignment::slots))
            .build();
    checkArgument(slotsByAssignment.size() <= Character.MAX_VALUE, "more than 65,534 assignments");
    return slotsByAssignment;
  }

  /**
   * Returns the slot of a key.
   *
   * @param key the key
   * @return the slot index
   */
  public int slotOf(String key) {
    return KeyHasher.slotOf(key, assignmentIndexes.length);
  }

  /**
   * Returns the owner of a key.
   *
   * @param key the key
   * @return the owner of its override if there is one, else of its slot
   */
  public SlotOwner ownerOf(String key) {
    SlotOwner override = overrides.get(key);
    return override == null ? ownerOfSlot(slotOf(key)) : override;
  }

  private SlotOwner ownerOfSlot(int slot) {
    int position = positions[slot];
    return position < 0
        ? SlotOwner.NONE
        : slotsByAssignment.get(assignmentIndexes[slot]).ownerAt(position);
  }

  /**
   * Returns the number of slots.
   *
   * @return the number of slots
   */
  public int slotCount() {
    return assignmentIndexes.length;
  }
}
