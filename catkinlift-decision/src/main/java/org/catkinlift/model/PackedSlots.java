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
 * Holds the owners of slots in 16 bytes per slot, ordered by slot index. Immutable.
 *
 * <p>An entry of objects takes about 150 bytes, which is 160 MB for the 1,048,576 slots of the
 * design size. Owner and term repeat, so each pair of them is kept once. {@link #get} creates the
 * owner's object anew.
 */
public final class PackedSlots extends AbstractMap<Integer, SlotOwner> {
  private final int[] slots;
  private final int[] holderIndexes;
  private final long[] counters;
  private final ImmutableList<Holder> holders;

  /** An owner and the term of its ownership, shared by many slots. */
  private record Holder(Optional<UpstreamId> owner, long term) {}

  private PackedSlots(
      int[] slots, int[] holderIndexes, long[] counters, ImmutableList<Holder> holders) {
    this.slots = slots;
    this.holderIndexes = holderIndexes;
    this.counters = counters;
    this.holders = holders;
  }

  /**
   * Packs the owners of slots.
   *
   * @param owners the owner by slot index
   * @return the packed owners; the argument itself if it is packed
   */
  public static PackedSlots copyOf(Map<Integer, SlotOwner> owners) {
    if (owners instanceof PackedSlots packed) {
      return packed;
    }
    int[] slots = owners.keySet().stream().mapToInt(Integer::intValue).sorted().toArray();
    var holderIndexes = new int[slots.length];
    var counters = new long[slots.length];
    var numbers = new LinkedHashMap<Holder, Integer>();
    for (int i = 0; i < slots.length; i++) {
      SlotOwner owner = owners.get(slots[i]);
      var holder = new Holder(owner.owner(), owner.epoch().term());
      holderIndexes[i] = numbers.computeIfAbsent(holder, h -> numbers.size());
      counters[i] = owner.epoch().counter();
    }
    return new PackedSlots(slots, holderIndexes, counters, ImmutableList.copyOf(numbers.keySet()));
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
    int dense = slot - slots[0]; // its position if no index is left out
    if (dense >= 0 && dense < slots.length && slots[dense] == slot) {
      return dense;
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
    Holder holder = holders.get(holderIndexes[position]);
    return new SlotOwner(holder.owner, Epoch.of(holder.term, counters[position]));
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
