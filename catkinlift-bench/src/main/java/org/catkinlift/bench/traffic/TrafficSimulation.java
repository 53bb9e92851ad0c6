package org.catkinlift.bench.traffic;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.stream.IntStream;
import org.catkinlift.bench.Site;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.routing.RoutingSnapshot;
import org.catkinlift.routing.SlotTable;
import org.catkinlift.timer.VirtualTimerService;

/** A simulated site with one service in virtual time: hosts, upstreams and invariant checks. */
final class TrafficSimulation {
  /** The number of entry hosts of a site; each is the dispatcher of some of the upstreams. */
  static final int HOST_COUNT = 10;

  static final ServiceName SERVICE = ServiceName.of("service");

  private static final Epoch EPOCH = Epoch.of(1, 1);
  private static final int PORT = 8080;

  private final VirtualTimerService timers = new VirtualTimerService();
  private final InvariantChecker invariantChecker = new InvariantChecker();
  private final ImmutableList<HostId> hosts;
  private final ImmutableList<UpstreamDefinition> definitions;
  private final ImmutableMap<UpstreamId, FakeUpstream> upstreams;
  private final RoutingSnapshot snapshot;

  private TrafficSimulation(Site site, ServiceKind kind, int upstreamCount) {
    this.hosts =
        IntStream.range(0, HOST_COUNT)
            .mapToObj(i -> HostId.of("host-" + i))
            .collect(toImmutableList());
    this.definitions =
        IntStream.range(0, upstreamCount)
            .mapToObj(i -> definition(site, i))
            .collect(toImmutableList());
    this.upstreams =
        definitions.stream()
            .collect(
                toImmutableMap(
                    UpstreamDefinition::id,
                    d -> new FakeUpstream(d.id(), d.concurrencyLimit(), timers, invariantChecker)));
    this.snapshot = snapshot(kind);
  }

  static TrafficSimulation keyed(Site site) {
    return new TrafficSimulation(site, ServiceKind.keyed(), site.keyedUpstreams());
  }

  static TrafficSimulation shared(Site site) {
    return new TrafficSimulation(site, ServiceKind.shared(), site.sharedUpstreams());
  }

  VirtualTimerService timers() {
    return timers;
  }

  InvariantChecker invariantChecker() {
    return invariantChecker;
  }

  ImmutableList<UpstreamDefinition> definitions() {
    return definitions;
  }

  FakeUpstream upstream(UpstreamId id) {
    return upstreams.get(id);
  }

  FakeUpstream upstream(int index) {
    return upstreams.get(definitions.get(index).id());
  }

  HostId host(int index) {
    return hosts.get(index);
  }

  /** Returns the routing snapshot of the daemon on a host. */
  RoutingSnapshot snapshotOf(HostId self) {
    return new RoutingSnapshot(
        self, snapshot.configuration(), snapshot.slotTables(), snapshot.dispatchers());
  }

  /** Returns the owner of the key of a request to a keyed service. */
  UpstreamId ownerOf(CallerRequest request) {
    SlotTable table = snapshot.slotTables().get(SERVICE);
    return table.ownerOf(request.description().key()).owner().orElseThrow();
  }

  /** Returns the request rate per second that keeps all execution slots busy. */
  double capacityPerSecond(Duration meanExecutionTime) {
    int slots = definitions.stream().mapToInt(UpstreamDefinition::concurrencyLimit).sum();
    return slots / (meanExecutionTime.toNanos() / (double) Duration.ofSeconds(1).toNanos());
  }

  private RoutingSnapshot snapshot(ServiceKind kind) {
    ImmutableSet<ZoneName> zones =
        definitions.stream().map(UpstreamDefinition::zone).collect(ImmutableSet.toImmutableSet());
    var service = new ServiceDefinition(SERVICE, kind, zones, definitions, 0);
    var configuration =
        Configuration.builder().version(1).services(ImmutableMap.of(SERVICE, service)).build();
    var dispatchers = ImmutableMap.<UpstreamId, HostId>builder();
    for (int i = 0; i < definitions.size(); i++) {
      dispatchers.put(definitions.get(i).id(), hosts.get(i % HOST_COUNT));
    }
    return new RoutingSnapshot(
        hosts.get(0), configuration, slotTables(kind), dispatchers.buildOrThrow());
  }

  private ImmutableMap<ServiceName, SlotTable> slotTables(ServiceKind kind) {
    return switch (kind) {
      case ServiceKind.Shared shared -> ImmutableMap.of();
      case ServiceKind.Keyed keyed -> ImmutableMap.of(SERVICE, slotTable(keyed.slotCount()));
    };
  }

  private SlotTable slotTable(int slotCount) {
    var slots = ImmutableSortedMap.<Integer, SlotOwner>naturalOrder();
    for (int slot = 0; slot < slotCount; slot++) {
      slots.put(slot, SlotOwner.of(definitions.get(slot % definitions.size()).id(), EPOCH));
    }
    var assignment =
        new Assignment(SERVICE, CellId.of("cell"), EPOCH, slots.buildOrThrow(), ImmutableMap.of());
    return SlotTable.of(slotCount, ImmutableList.of(assignment));
  }

  private static UpstreamDefinition definition(Site site, int index) {
    return new UpstreamDefinition(
        UpstreamId.of("upstream-" + index),
        ZoneName.of("zone-" + index % site.zones()),
        CellId.of("cell"),
        NetworkAddress.of("127.0.0.1", PORT),
        site.concurrencyLimit(),
        site.connectionLimit());
  }
}
