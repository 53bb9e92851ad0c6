package org.catkinlift.protocol;

import com.google.common.collect.ContiguousSet;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CellLoad;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.DispatcherMap;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.SlotRuns;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.Versioned;
import org.catkinlift.protocol.generated.AssignmentProto;
import org.catkinlift.protocol.generated.CellLoadProto;
import org.catkinlift.protocol.generated.DispatcherMapProto;
import org.catkinlift.protocol.generated.HomeMapProto;
import org.catkinlift.protocol.generated.OverrideProto;
import org.catkinlift.protocol.generated.SlotOwnerProto;
import org.catkinlift.protocol.generated.VersionedProto;

/** Converts the versioned values that daemons replicate to and from protobuf messages. */
final class VersionedCodec {
  private VersionedCodec() {}

  static VersionedProto encode(Versioned value) {
    var builder = VersionedProto.newBuilder();
    return switch (value) {
      case Configuration c -> builder.setConfiguration(ModelCodec.encode(c)).build();
      case HomeMap h -> builder.setHomeMap(encodeHomes(h)).build();
      case Assignment a -> builder.setAssignment(encodeAssignment(a)).build();
      case DispatcherMap d -> builder.setDispatcherMap(encodeDispatchers(d)).build();
      case CellLoad l -> builder.setCellLoad(encodeCellLoad(l)).build();
    };
  }

  static Versioned decode(VersionedProto proto) {
    return switch (proto.getValueCase()) {
      case CONFIGURATION -> ModelCodec.decode(proto.getConfiguration());
      case HOME_MAP -> decodeHomes(proto.getHomeMap());
      case ASSIGNMENT -> decodeAssignment(proto.getAssignment());
      case DISPATCHER_MAP -> decodeDispatchers(proto.getDispatcherMap());
      case CELL_LOAD -> decodeCellLoad(proto.getCellLoad());
      case VALUE_NOT_SET ->
          throw new ProtocolException(
              ProtocolException.Code.MALFORMED_FRAME, "versioned value of unknown type");
    };
  }

  private static HomeMapProto encodeHomes(HomeMap map) {
    var builder =
        HomeMapProto.newBuilder().setService(map.service().value()).setVersion(map.version());
    Map<CellId, Integer> indexes = new HashMap<>();
    var slots = ContiguousSet.closedOpen(0, map.homes().size());
    for (var run : SlotRuns.of(slots, map.homes()::get)) {
      Integer index = indexes.get(run.value());
      if (index == null) {
        index = indexes.size();
        indexes.put(run.value(), index);
        builder.addCells(run.value().value());
      }
      builder.addRunCell(index).addRunLength(run.count());
    }
    return builder.build();
  }

  private static HomeMap decodeHomes(HomeMapProto proto) {
    List<CellId> cells = proto.getCellsList().stream().map(CellId::of).toList();
    var homes = ImmutableList.<CellId>builder();
    for (int i = 0; i < proto.getRunCellCount(); i++) {
      CellId cell = cells.get(proto.getRunCell(i));
      for (int n = proto.getRunLength(i); n > 0; n--) {
        homes.add(cell);
      }
    }
    return new HomeMap(ServiceName.of(proto.getService()), proto.getVersion(), homes.build());
  }

  private static AssignmentProto encodeAssignment(Assignment assignment) {
    var indexes = new OwnerIndexes();
    var builder =
        AssignmentProto.newBuilder()
            .setService(assignment.service().value())
            .setCell(assignment.cell().value())
            .setVersion(ModelCodec.encode(assignment.version()));
    assignment
        .slots()
        .forEach(
            (slot, owner) ->
                builder.addSlots(
                    SlotOwnerProto.newBuilder()
                        .setSlot(slot)
                        .setOwner(indexes.ownerIndex(owner))
                        .setEpoch(ModelCodec.encode(owner.epoch()))));
    assignment
        .overrides()
        .forEach(
            (key, owner) ->
                builder.addOverrides(
                    OverrideProto.newBuilder()
                        .setKey(key)
                        .setOwner(indexes.ownerIndex(owner))
                        .setEpoch(ModelCodec.encode(owner.epoch()))));
    return builder.addAllUpstreams(indexes.upstreamNames).build();
  }

  private static Assignment decodeAssignment(AssignmentProto proto) {
    List<UpstreamId> upstreams = proto.getUpstreamsList().stream().map(UpstreamId::of).toList();
    var slots = ImmutableSortedMap.<Integer, SlotOwner>naturalOrder();
    for (SlotOwnerProto slot : proto.getSlotsList()) {
      slots.put(
          slot.getSlot(),
          new SlotOwner(ownerAt(upstreams, slot.getOwner()), ModelCodec.decode(slot.getEpoch())));
    }
    var overrides = ImmutableMap.<String, SlotOwner>builder();
    for (OverrideProto override : proto.getOverridesList()) {
      overrides.put(
          override.getKey(),
          new SlotOwner(
              ownerAt(upstreams, override.getOwner()), ModelCodec.decode(override.getEpoch())));
    }
    return new Assignment(
        ServiceName.of(proto.getService()),
        CellId.of(proto.getCell()),
        ModelCodec.decode(proto.getVersion()),
        slots.buildOrThrow(),
        overrides.buildOrThrow());
  }

  private static Optional<UpstreamId> ownerAt(List<UpstreamId> upstreams, int owner) {
    return owner == 0 ? Optional.empty() : Optional.of(upstreams.get(owner - 1));
  }

  private static DispatcherMapProto encodeDispatchers(DispatcherMap map) {
    var builder =
        DispatcherMapProto.newBuilder()
            .setCell(map.cell().value())
            .setVersion(ModelCodec.encode(map.version()));
    map.dispatchers()
        .forEach((upstream, host) -> builder.putDispatchers(upstream.value(), host.value()));
    return builder.build();
  }

  private static DispatcherMap decodeDispatchers(DispatcherMapProto proto) {
    var dispatchers = ImmutableMap.<UpstreamId, HostId>builder();
    proto
        .getDispatchersMap()
        .forEach((upstream, host) -> dispatchers.put(UpstreamId.of(upstream), HostId.of(host)));
    return new DispatcherMap(
        CellId.of(proto.getCell()),
        ModelCodec.decode(proto.getVersion()),
        dispatchers.buildOrThrow());
  }

  private static CellLoadProto encodeCellLoad(CellLoad load) {
    return CellLoadProto.newBuilder()
        .setService(load.service().value())
        .setCell(load.cell().value())
        .setVersion(ModelCodec.encode(load.version()))
        .setHomeVersion(load.measured().homeVersion())
        .setLoad(load.measured().load())
        .setError(load.measured().error())
        .setCapacity(load.measured().capacity())
        .build();
  }

  private static CellLoad decodeCellLoad(CellLoadProto proto) {
    return new CellLoad(
        ServiceName.of(proto.getService()),
        CellId.of(proto.getCell()),
        ModelCodec.decode(proto.getVersion()),
        new CellLoad.Measured(
            proto.getHomeVersion(), proto.getLoad(), proto.getError(), proto.getCapacity()));
  }

  /** Numbers the upstreams of an assignment from 1 in order of appearance; 0 means no owner. */
  private static final class OwnerIndexes {
    private final Map<UpstreamId, Integer> indexes = new HashMap<>();
    private final List<String> upstreamNames = new ArrayList<>();

    private int ownerIndex(SlotOwner owner) {
      return owner.owner().map(this::indexOf).orElse(0);
    }

    private int indexOf(UpstreamId upstream) {
      return indexes.computeIfAbsent(
          upstream,
          u -> {
            upstreamNames.add(u.value());
            return upstreamNames.size();
          });
    }
  }
}
