package org.catkinlift.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ContiguousSet;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Streams;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.PackedSlots;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.SlotRuns;
import org.catkinlift.model.UpstreamId;

/**
 * Converts the slots of a service to and from JSON.
 *
 * <p>A service has up to 1,048,576 slots. To keep rows small, names are listed once and referenced
 * by index, and adjacent slots with equal values are run-length encoded.
 */
final class SlotCodec {

  private static final int NO_OWNER = -1;
  private static final int MAX_SLOT_COUNT = 1 << 20;

  private SlotCodec() {}

  /** Encodes the home cells as runs {@code [count, cell index]}. */
  static ObjectNode putHomes(ObjectNode node, ImmutableList<CellId> homes) {
    ImmutableList<CellId> cells = ImmutableSet.copyOf(homes).asList();
    node.set("cells", JsonFields.names(cells));
    ArrayNode runs = node.putArray("homes");
    for (var run : SlotRuns.of(ContiguousSet.closedOpen(0, homes.size()), homes::get)) {
      runs.add(JsonFields.array().add(run.count()).add(cells.indexOf(run.value())));
    }
    return node;
  }

  static ImmutableList<CellId> homes(JsonNode node) {
    ImmutableList<CellId> cells = JsonFields.nameList(node, "cells", CellId::of);
    var homes = ImmutableList.<CellId>builder();
    int total = 0;
    for (JsonNode run : JsonFields.required(node, "homes")) {
      int count = JsonFields.integer(run, 0);
      CellId cell = JsonFields.element(cells, JsonFields.integer(run, 1));
      total = checkedEnd(total, count);
      for (int i = 0; i < count; i++) {
        homes.add(cell);
      }
    }
    return homes.build();
  }

  /** Encodes the owners as runs {@code [first slot, count, owner index, term, counter]}. */
  static ObjectNode putOwners(
      ObjectNode node, PackedSlots slots, ImmutableMap<String, SlotOwner> overrides) {
    ImmutableMap<UpstreamId, Integer> indexes = ownerIndexes(slots.values(), overrides.values());
    node.set("owners", JsonFields.names(indexes.keySet()));
    node.set("slots", encodeRuns(slots, indexes));
    ObjectNode overridesNode = node.putObject("overrides");
    overrides.forEach(
        (key, owner) -> overridesNode.set(key, addOwner(JsonFields.array(), owner, indexes)));
    return node;
  }

  static ImmutableSortedMap<Integer, SlotOwner> slots(JsonNode node) {
    ImmutableList<UpstreamId> owners = JsonFields.nameList(node, "owners", UpstreamId::of);
    var slots = ImmutableSortedMap.<Integer, SlotOwner>naturalOrder();
    int nextSlot = 0;
    for (JsonNode run : JsonFields.required(node, "slots")) {
      int first = JsonFields.integer(run, 0);
      if (first < nextSlot) {
        throw JsonFields.malformed("runs of slots overlap at " + first);
      }
      nextSlot = checkedEnd(first, JsonFields.integer(run, 1));
      SlotOwner owner = owner(run, 2, owners);
      for (int slot = first; slot < nextSlot; slot++) {
        slots.put(slot, owner);
      }
    }
    return slots.buildOrThrow();
  }

  static ImmutableMap<String, SlotOwner> overrides(JsonNode node) {
    ImmutableList<UpstreamId> owners = JsonFields.nameList(node, "owners", UpstreamId::of);
    var overrides = ImmutableMap.<String, SlotOwner>builder();
    for (Map.Entry<String, JsonNode> e : JsonFields.required(node, "overrides").properties()) {
      overrides.put(e.getKey(), owner(e.getValue(), 0, owners));
    }
    return overrides.buildOrThrow();
  }

  private static ArrayNode encodeRuns(
      PackedSlots slots, ImmutableMap<UpstreamId, Integer> indexes) {
    ArrayNode runs = JsonFields.array();
    for (var run : SlotRuns.of(slots.keySet(), slots::ownerOf)) {
      ArrayNode array = JsonFields.array().add(run.first()).add(run.count());
      runs.add(addOwner(array, run.value(), indexes));
    }
    return runs;
  }

  private static ArrayNode addOwner(
      ArrayNode array, SlotOwner owner, ImmutableMap<UpstreamId, Integer> indexes) {
    int index = owner.owner().map(indexes::get).orElse(NO_OWNER);
    return array.add(index).add(owner.epoch().term()).add(owner.epoch().counter());
  }

  private static SlotOwner owner(JsonNode array, int offset, ImmutableList<UpstreamId> owners) {
    int index = JsonFields.integer(array, offset);
    Epoch epoch =
        Epoch.of(JsonFields.number(array, offset + 1), JsonFields.number(array, offset + 2));
    if (index == NO_OWNER) {
      return new SlotOwner(Optional.empty(), epoch);
    }
    return SlotOwner.of(JsonFields.element(owners, index), epoch);
  }

  private static ImmutableMap<UpstreamId, Integer> ownerIndexes(
      Collection<SlotOwner> slots, Collection<SlotOwner> overrides) {
    var owners =
        Streams.concat(slots.stream(), overrides.stream())
            .flatMap(o -> o.owner().stream())
            .distinct()
            .sorted()
            .iterator();
    var indexes = ImmutableMap.<UpstreamId, Integer>builder();
    int index = 0;
    while (owners.hasNext()) {
      indexes.put(owners.next(), index++);
    }
    return indexes.buildOrThrow();
  }

  private static int checkedEnd(int first, int count) {
    if (first < 0 || count < 1 || count > MAX_SLOT_COUNT - first) {
      throw JsonFields.malformed("run of " + count + " slots from " + first + " is out of range");
    }
    return first + count;
  }
}
