package org.catkinlift.model;

import com.google.common.collect.ImmutableList;
import java.util.AbstractList;
import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * An immutable map from slot index to owner, ordered by slot index, that takes 16 bytes per slot.
 *
 * <p>An entry of a map of objects takes about 150 bytes, which is 160 MB for the maximum of
 * 1,048,576 slots. Many slots have the same owner and term, so each distinct pair is stored once.
 * {@link #get} creates a new {@link SlotOwner} on each call.
 */
public final class PackedSlots extends AbstractMap<Integer, SlotOwner> {
  private final int[] slots;
  private final int[] ownerTermIndexes;
  private final long[] counters;
  private final ImmutableList<OwnerTerm> ownerTerms;

  /** An owner and the term of its ownership, shared by many slots. */
  private record OwnerTerm(Optional<UpstreamId> owner, long term) {}

  private PackedSlots(
      int[] slots, int[] ownerTermIndexes, long[] counters, ImmutableList<OwnerTerm> ownerTerms) {
    this.slots = slots;
    this.ownerTermIndexes = ownerTermIndexes;
    this.counters = counters;
    this.ownerTerms = ownerTerms;
  }

  /**
   * Returns a packed copy of a map of slot owners.
   *
   * @param owners the owner by slot index
   * @return the packed owners; the argument itself if it is already packed
   */
  public static PackedSlots copyOf(Map<Integer, SlotOwner> owners) {
    if (owners instanceof PackedSlots packed) {
      return packed;
    }
    int[] slots = owners.keySet().stream().mapToInt(Integer::intValue).sorted().toArray();
    var ownerTermIndexes = new int[slots.length];
    var counters = new long[slots.length];
    var indexes = new LinkedHashMap<OwnerTerm, Integer>();
    for (int i = 0; i < slots.length; i++) {
      SlotOwner owner = owners.get(slots[i]);
      var ownerTerm = new OwnerTerm(owner.owner(), owner.epoch().term());
      ownerTermIndexes[i] = indexes.computeIfAbsent(ownerTerm, key -> indexes.size());
      counters[i] = owner.epoch().counter();
    }
    return new PackedSlots(
        slots, ownerTermIndexes, counters, ImmutableList.copyOf(indexes.keySet()));
  }

  /**
   * Returns the owner of a slot without boxing its index.
   *
   * @param slot the slot index
   * @return the owner; {@link SlotOwner#NONE} if the slot is not in the map
   */
  public SlotOwner ownerOf(int slot) {
    int position = position(slot);
    return position < 0 ? SlotOwner.NONE : ownerAt(position);
  }

  /**
   * Returns the position of a slot in the order of slot indexes.
   *
   * @param slot the slot index
   * @return the position, from 0; negative if the slot is not in the map
   */
  public int position(int slot) {
    if (slots.length == 0) {
      return -1;
    }
    int contiguousPosition = slot - slots[0]; // the position if the indexes have no gap
    if (contiguousPosition >= 0
        && contiguousPosition < slots.length
        && slots[contiguousPosition] == slot) {
      return contiguousPosition;
    }
    return Arrays.binarySearch(slots, slot);
  }

  /**
   * Returns the owner at a position.
   *
   * @param position the position, from 0
   * @return the owner
   */
  public SlotOwner ownerAt(int position) {
    OwnerTerm ownerTerm = ownerTerms.get(ownerTermIndexes[position]);
    return new SlotOwner(ownerTerm.owner, Epoch.of(ownerTerm.term, counters[position]));
  }

  @Override
  public SlotOwner get(Object key) {
    int position = key instanceof Integer slot ? position(slot) : -1;
    return position < 0 ? null : ownerAt(position);
  }

  @Override
  public boolean containsKey(Object key) {
    return key instanceof Integer slot && position(slot) >= 0;
  }

  @Override
  public int size() {
    return slots.length;
  }

  @Override
  public Set<Map.Entry<Integer, SlotOwner>> entrySet() {
    return new Entries();
  }

  private final class Entries extends AbstractSet<Map.Entry<Integer, SlotOwner>> {
    @Override
    public Iterator<Map.Entry<Integer, SlotOwner>> iterator() {
      return new EntryList().iterator();
    }

    @Override
    public int size() {
      return slots.length;
    }
  }

  private final class EntryList extends AbstractList<Map.Entry<Integer, SlotOwner>> {
    @Override
    public Map.Entry<Integer, SlotOwner> get(int position) {
      return Map.entry(slots[position], ownerAt(position));
    }

    @Override
    public int size() {
      return slots.length;
    }
  }
}
