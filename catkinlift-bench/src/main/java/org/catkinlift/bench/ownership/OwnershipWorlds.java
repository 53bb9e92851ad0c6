package org.catkinlift.bench.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/** Builds worlds of a given size; zones are named {@code zone1}, {@code zone2} and so on. */
final class OwnershipWorlds {
  private static final NetworkAddress ADDRESS = new NetworkAddress("127.0.0.1", 1);
  private static final int CONNECTIONS = 40;

  private OwnershipWorlds() {}

  static OwnershipWorld of(
      ServiceKind kind, int zones, int hostsPerZone, int upstreams, int concurrencyLimit) {
    ImmutableList<UpstreamDefinition> definitions =
        IntStream.range(0, upstreams)
            .mapToObj(i -> upstream(i, i % zones + 1, concurrencyLimit))
            .collect(ImmutableList.toImmutableList());
    var service =
        new ServiceDefinition(
            ServiceName.of("orders"),
            kind,
            IntStream.rangeClosed(1, zones)
                .mapToObj(OwnershipWorlds::zone)
                .collect(ImmutableSet.toImmutableSet()),
            definitions,
            0);
    return new OwnershipWorld(
        service,
        IntStream.rangeClosed(1, zones)
            .boxed()
            .flatMap(z -> hosts(z, hostsPerZone))
            .collect(ImmutableList.toImmutableList()));
  }

  private static Stream<HostDefinition> hosts(int zone, int count) {
    return IntStream.rangeClosed(1, count)
        .mapToObj(
            i ->
                new HostDefinition(
                    HostId.of("host" + zone + "-" + i), zone(zone), cell(zone), ADDRESS));
  }

  private static UpstreamDefinition upstream(int index, int zone, int limit) {
    var id = UpstreamId.of("up" + zone + "-" + index);
    return new UpstreamDefinition(id, zone(zone), cell(zone), ADDRESS, limit, CONNECTIONS);
  }

  private static ZoneName zone(int number) {
    return ZoneName.of("zone" + number);
  }

  private static CellId cell(int number) {
    return CellId.of("cell" + number);
  }
}
