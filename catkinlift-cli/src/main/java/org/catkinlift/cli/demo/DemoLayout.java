package org.catkinlift.cli.demo;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.stream.IntStream;
import org.catkinlift.daemon.settings.DaemonSettings;
import org.catkinlift.daemon.settings.OperatorToken;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.standin.FreePorts;
import org.catkinlift.standin.upstream.UpstreamSettings;

/** Defines the topology of the demo, a reduced version of the example site {@code tavua}. */
final class DemoLayout {

  /** The loopback address; the demo listens on no other. */
  static final String IP = "127.0.0.1";

  /** The keyed service, whose keys each have one owning upstream. */
  static final ServiceName ORDER_DESK = ServiceName.of("order-desk");

  /** The shared service, which is not partitioned by key. */
  static final ServiceName PROOF_FILES = ServiceName.of("proof-files");

  /** The operator token of all daemons. It may be a constant: the demo listens on loopback only. */
  static final String OPERATOR_TOKEN = "demo-operator-token";

  private static final ImmutableList<ZoneName> ZONES =
      ImmutableList.of(ZoneName.of("suva"), ZoneName.of("nadi"), ZoneName.of("lautoka"));
  private static final int DAEMONS_PER_ZONE = 2;
  private static final int ADDRESSES_PER_DAEMON = 3;
  private static final int ORDER_DESK_UPSTREAMS_PER_ZONE = 2;
  private static final int PROOF_FILES_UPSTREAMS_PER_ZONE = 1;

  /** Value for a service without a limit per availability zone. */
  private static final int NO_ZONE_LIMIT = 0;

  private DemoLayout() {}

  /** An upstream and its availability zone. */
  record PlacedUpstream(UpstreamSettings settings, ZoneName zone) {}

  /** Returns the upstreams of the keyed service. */
  static ImmutableList<PlacedUpstream> orderDeskUpstreams() {
    return upstreams("desk", ORDER_DESK_UPSTREAMS_PER_ZONE, GrantChecking.checked());
  }

  /** Returns the upstreams of the shared service. */
  static ImmutableList<PlacedUpstream> proofFilesUpstreams() {
    return upstreams("proof", PROOF_FILES_UPSTREAMS_PER_ZONE, GrantChecking.unchecked());
  }

  /** Returns the initial configuration. */
  static Configuration configuration(
      ImmutableList<UpstreamDefinition> orderDesk, ImmutableList<UpstreamDefinition> proofFiles) {
    return Configuration.builder()
        .version(1)
        .services(
            ImmutableMap.of(
                ORDER_DESK, service(ORDER_DESK, ServiceKind.keyed(), orderDesk),
                PROOF_FILES, service(PROOF_FILES, ServiceKind.shared(), proofFiles)))
        .build();
  }

  /** Returns the definition of an upstream for the configuration. */
  static UpstreamDefinition definition(PlacedUpstream placed, NetworkAddress address) {
    UpstreamSettings settings = placed.settings();
    return new UpstreamDefinition(
        settings.id(),
        placed.zone(),
        cellOf(placed.zone()),
        address,
        settings.executionSlots(),
        settings.connectionLimit());
  }

  /** Returns the settings of all daemons, with ports that are free at the time of the call. */
  static ImmutableList<DaemonSettings> daemons(NetworkAddress platform) {
    int count = ZONES.size() * DAEMONS_PER_ZONE;
    ImmutableList<NetworkAddress> freeAddresses = FreePorts.find(IP, count * ADDRESSES_PER_DAEMON);
    ImmutableList<HostDefinition> hosts =
        IntStream.range(0, count)
            .mapToObj(i -> host(i, freeAddresses.get(i * ADDRESSES_PER_DAEMON)))
            .collect(toImmutableList());
    return IntStream.range(0, count)
        .mapToObj(
            i ->
                daemon(
                    hosts,
                    i,
                    freeAddresses.subList(i * ADDRESSES_PER_DAEMON, (i + 1) * ADDRESSES_PER_DAEMON),
                    platform))
        .collect(toImmutableList());
  }

  private static HostDefinition host(int index, NetworkAddress peerAddress) {
    ZoneName zone = ZONES.get(index / DAEMONS_PER_ZONE);
    var id = HostId.of(zone + "-" + (index % DAEMONS_PER_ZONE + 1));
    return new HostDefinition(id, zone, cellOf(zone), peerAddress);
  }

  private static DaemonSettings daemon(
      ImmutableList<HostDefinition> hosts,
      int index,
      ImmutableList<NetworkAddress> addresses,
      NetworkAddress platform) {
    HostDefinition self = hosts.get(index);
    return DaemonSettings.builder()
        .host(self.id())
        .zone(self.zone())
        .cell(self.cell())
        .zones(ImmutableSet.copyOf(ZONES))
        .peerAddress(self.peerAddress())
        .callerAddress(addresses.get(1))
        .operatorAddress(addresses.get(2))
        .operatorToken(OperatorToken.of(OPERATOR_TOKEN))
        .platformAddress(platform)
        .peers(hosts.stream().filter(h -> !h.equals(self)).collect(toImmutableList()))
        .build();
  }

  private static ImmutableList<PlacedUpstream> upstreams(
      String prefix, int perZone, GrantChecking grantChecking) {
    return ZONES.stream()
        .flatMap(
            zone ->
                IntStream.rangeClosed(1, perZone)
                    .mapToObj(i -> UpstreamId.of(prefix + "-" + zone + "-" + i))
                    .map(id -> new PlacedUpstream(settings(id, grantChecking), zone)))
        .collect(toImmutableList());
  }

  private static UpstreamSettings settings(UpstreamId id, GrantChecking grantChecking) {
    return UpstreamSettings.builder().id(id).grantChecking(grantChecking).build();
  }

  private static ServiceDefinition service(
      ServiceName name, ServiceKind kind, ImmutableList<UpstreamDefinition> upstreams) {
    return new ServiceDefinition(name, kind, ImmutableSet.copyOf(ZONES), upstreams, NO_ZONE_LIMIT);
  }

  private static CellId cellOf(ZoneName zone) {
    return CellId.of(zone.value());
  }
}
