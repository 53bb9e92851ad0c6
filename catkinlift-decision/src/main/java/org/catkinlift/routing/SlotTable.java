package org.catkinlift.routing;

import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.SlotOwner;

/** Finds the owner of a key in constant time. Immutable. */
public final class SlotTable {
  private final SlotOwner[] owners;
  private final ImmutableMap<String, SlotOwner> overrides;

  private SlotTable(SlotOwner[] owners, ImmutableMap<String, SlotOwner> overrides) {
    this.owners = owners;
    this.overrides = overrides;
  }

  /**
   * Builds the table of one service from the assignments of its cells.
   *
   * @param slotCount the number of slots of the service
   * @param assignments the assignment of each cell
   * @return the table
   */
  public static SlotTable of(int slotCount, Iterable<Assignment> assignments) {
    var owners = new SlotOwner[slotCount];
    java.util.Arrays.fill(owners, SlotOwner.NONE);
    var overrides = ImmutableMap.<String, SlotOwner>builder();
    for (Assignment assignment : assignments) {
      assignment.slots().forEach((slot, owner) -> owners[slot] = later(owners[slot], owner));
      overrides.putAll(assignment.overrides());
    }
    return new SlotTable(owners, overrides.buildKeepingLast());
  }

  /**
   * Builds the table of one service, taking from each cell only the slots whose home it is.
   *
   * <p>Epochs of different cells are not comparable, and the assignment of a lost cell stays known,
   * so only the home map tells which cell's entry counts.
   *
   * @param homes the home map of the service
   * @param assignments the assignment of each cell
   * @return the table
   */
  public static SlotTable of(HomeMap homes, Iterable<Assignment> assignments) {
    int slotCount = homes.homes().size();
    var owners = new SlotOwner[slotCount];
    java.util.Arrays.fill(owners, SlotOwner.NONE);
    var overrides = ImmutableMap.<String, SlotOwner>builder();
    for (Assignment assignment : assignments) {
      CellId cell = assignment.cell();
      assignment.slots().entrySet().stream()
          .filter(e -> homes.homes().get(e.getKey()).equals(cell))
          .forEach(e -> owners[e.getKey()] = e.getValue());
      assignment.overrides().entrySet().stream()
          .filter(e -> homes.homes().get(KeyHasher.slotOf(e.getKey(), slotCount)).equals(cell))
          .forEach(overrides::put);
    }
    return new SlotTable(owners, overrides.buildKeepingLast());
  }

  private static SlotOwner later(SlotOwner a, SlotOwner b) {
    return b.epoch().isAfter(a.epoch()) ? b : a;
  }

  /**
   * Returns the slot of a key.
   *
   * @param key the key
   * @return the slot index
   */
  public int slotOf(String key) {
    return KeyHasher.slotOf(key, owners.length);
  }

  /**
   * Returns the owner of a key.
   *
   * @param key the key
   * @return the owner of its override if there is one, else of its slot
   */
  public SlotOwner ownerOf(String key) {
    SlotOwner override = overrides.get(key);
    return override == null ? owners[slotOf(key)] : override;
  }

  /**
   * Returns the number of slots.
   *
   * @return the number of slots
   */
  public int slotCount() {
    return owners.length;
  }
}
