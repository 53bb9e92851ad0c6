package org.catkinlift.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.SplittableRandom;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.RequestId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.junit.jupiter.api.Test;

final class RequestRouterTest {
  private static final HostId SELF = HostId.of("self");
  private static final HostId OTHER = HostId.of("other");
  private static final ServiceName DESK = ServiceName.of("order-desk");
  private static final ServiceName FILES = ServiceName.of("proof-files");
  private static final UpstreamDefinition A = upstream("a", "suva");
  private static final UpstreamDefinition B = upstream("b", "nadi");
  private static final Epoch EPOCH = Epoch.of(3, 7);
  private static final String KEY = "key";
  private static final int SLOT = KeyHasher.slotOf(KEY, ServiceKind.DEFAULT_SLOT_COUNT);

  private final RequestRouter router =
      new RequestRouter(new SharedUpstreamChooser(new SplittableRandom(1)));

  @Test
  void keyedRequestGoesToOwnerAlsoWhenOwnerWasTriedBefore() {
    RouteDecision here = route(snapshot(SELF), request(DESK, KEY), ImmutableSet.of(A.id()));
    RouteDecision relayed = route(snapshot(OTHER), request(DESK, KEY), ImmutableSet.of());
    assertThat(here).isEqualTo(new RouteDecision.DispatchHere(A.id(), SLOT, EPOCH));
    assertThat(relayed).isEqualTo(new RouteDecision.Relay(OTHER, A.id(), SLOT, EPOCH));
  }

  @Test
  void requestForSlotWithoutOwnerWaitsAtMostHalfOfItsDeadline() {
    String unowned = "other-key";
    RequestDescription shortDeadline =
        RequestDescription.builder()
            .id(RequestId.of("r"))
            .service(DESK)
            .key(unowned)
            .deadline(Duration.ofMillis(300))
            .build();
    assertThat(route(snapshot(SELF), shortDeadline, ImmutableSet.of()))
        .isEqualTo(new RouteDecision.Wait(Duration.ofMillis(150)));
    assertThat(route(snapshot(SELF), request(DESK, unowned), ImmutableSet.of()))
        .isEqualTo(new RouteDecision.Wait(Duration.ofSeconds(3)));
  }

  @Test
  void sharedRequestAvoidsDrainedZoneAndTriedUpstreams() {
    RoutingSnapshot drained = drained(snapshot(SELF), "suva");
    for (int i = 0; i < 50; i++) {
      assertThat(route(drained, request(FILES, ""), ImmutableSet.of()))
          .isEqualTo(new RouteDecision.DispatchHere(B.id(), -1, Epoch.NONE));
      assertThat(route(snapshot(SELF), request(FILES, ""), ImmutableSet.of(B.id())))
          .isEqualTo(new RouteDecision.DispatchHere(A.id(), -1, Epoch.NONE));
    }
  }

  @Test
  void refusalsNameTheirReason() {
    RoutingSnapshot all = snapshot(SELF);
    RoutingSnapshot drained = drained(drained(all, "suva"), "nadi");
    assertThat(codeOf(route(all, request(ServiceName.of("none"), ""), ImmutableSet.of())))
        .isEqualTo(RefusalCode.UNKNOWN_SERVICE);
    assertThat(codeOf(route(all, request(DESK, ""), ImmutableSet.of())))
        .isEqualTo(RefusalCode.BAD_REQUEST);
    assertThat(codeOf(route(drained, request(FILES, ""), ImmutableSet.of())))
        .isEqualTo(RefusalCode.ZONE_UNAVAILABLE);
    assertThat(codeOf(route(all, request(FILES, ""), ImmutableSet.of(A.id(), B.id()))))
        .isEqualTo(RefusalCode.DISPATCHER_UNREACHABLE);
  }

  private RouteDecision route(
      RoutingSnapshot snapshot, RequestDescription request, ImmutableSet<UpstreamId> excluded) {
    return router.route(snapshot, request, excluded, 0);
  }

  private static RefusalCode codeOf(RouteDecision decision) {
    Outcome.NotRun outcome = ((RouteDecision.Refuse) decision).outcome();
    return outcome.code();
  }

  private static RequestDescription request(ServiceName service, String key) {
    return RequestDescription.builder().id(RequestId.of("r")).service(service).key(key).build();
  }

  private static RoutingSnapshot snapshot(HostId dispatcher) {
    var assignment =
        new Assignment(
            DESK,
            CellId.of("cell"),
            EPOCH,
            ImmutableSortedMap.of(SLOT, SlotOwner.of(A.id(), EPOCH)),
            ImmutableMap.of());
    var configuration =
        Configuration.builder()
            .services(
                ImmutableMap.of(
                    DESK, service(DESK, ServiceKind.keyed()),
                    FILES, service(FILES, ServiceKind.shared())))
            .build();
    return new RoutingSnapshot(
        SELF,
        configuration,
        ImmutableMap.of(
            DESK, SlotTable.of(ServiceKind.DEFAULT_SLOT_COUNT, ImmutableList.of(assignment))),
        ImmutableMap.of(A.id(), dispatcher, B.id(), dispatcher));
  }

  private static RoutingSnapshot drained(RoutingSnapshot snapshot, String zone) {
    Configuration before = snapshot.configuration();
    var zones =
        ImmutableSet.<ZoneName>builder()
            .addAll(before.drainedZones())
            .add(ZoneName.of(zone))
            .build();
    return new RoutingSnapshot(
        snapshot.self(),
        before.toBuilder().drainedZones(zones).build(),
        snapshot.slotTables(),
        snapshot.dispatchers());
  }

  private static ServiceDefinition service(ServiceName name, ServiceKind kind) {
    return new ServiceDefinition(name, kind, ImmutableSet.of(), ImmutableList.of(A, B), 0);
  }

  private static UpstreamDefinition upstream(String name, String zone) {
    return new UpstreamDefinition(
        UpstreamId.of(name),
        ZoneName.of(zone),
        CellId.of("cell"),
        NetworkAddress.of("127.0.0.1", 8080),
        4,
        130);
  }
}
