package org.catkinlift.model;

import com.google.common.collect.ImmutableMap;
import java.util.Map;

/**
 * Maps the slots of one keyed service in one home cell to their owners.
 *
 * @param service the service
 * @param cell the home cell of all slots in {@code slots}
 * @param version the version among the assignments of this service and cell; compared by
 *     coordinator term first
 * @param slots the owner by slot index; holds exactly the slots whose home is this cell
 * @param overrides the owner by key, for keys that are assigned separately from their slot
 */
public record Assignment(
    ServiceName service,
    CellId cell,
    Epoch version,
    PackedSlots slots,
    ImmutableMap<String, SlotOwner> overrides)
    implements Versioned {
  /** The prefix of the names of all assignments. */
  public static final String PREFIX = "assignment/";

  /**
   * Creates an assignment and packs its slots.
   *
   * @param service the service
   * @param cell the home cell of all slots
   * @param version the version among the assignments of this service and cell
   * @param slots the owner by slot index
   * @param overrides the owner by key
   */
  public Assignment(
      ServiceName service,
      CellId cell,
      Epoch version,
      Map<Integer, SlotOwner> slots,
      ImmutableMap<String, SlotOwner> overrides) {
    this(service, cell, version, PackedSlots.copyOf(slots), overrides);
  }

  /**
   * Returns the name of the assignment of a service in one cell.
   *
   * @param service the service
   * @param cell the home cell
   * @return the name
   */
  public static String nameOf(ServiceName service, CellId cell) {
    return PREFIX + service + "/" + cell;
  }

  @Override
  public String name() {
    return nameOf(service, cell);
  }

  @Override
  public Epoch versionEpoch() {
    return version;
  }
}
