package org.catkinlift.daemon.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.util.Collections;
import java.util.Optional;
import org.catkinlift.control.RowValue;
import org.catkinlift.daemon.json.IntentCodec;
import org.catkinlift.daemon.json.JsonFormat;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CellLoad;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.DispatcherMap;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.plans.Intent;
import org.catkinlift.plans.Plan;
import org.catkinlift.plans.PlanRecord;
import org.junit.jupiter.api.Test;

/** Guards against rows that are altered, oversized or misread in a round trip. */
final class RowCodecTest {

  private static final CellId SUVA = CellId.of("suva");
  private static final CellId NADI = CellId.of("nadi");
  private static final UpstreamId U1 = UpstreamId.of("desk-1");
  private static final UpstreamId U2 = UpstreamId.of("desk-2");
  private static final ServiceName DESK = ServiceName.of("order-desk");
  private static final ServiceDefinition SERVICE =
      service(
          new ServiceKind.Keyed(
              8,
              new CutOffRule.Hold(Duration.ofMinutes(3), Optional.of(Duration.ofHours(1))),
              new GrantChecking.Unchecked(Duration.ofMillis(400))));
  private static final Configuration CONFIGURATION =
      Configuration.builder()
          .version(7)
          .services(ImmutableMap.of(DESK, SERVICE))
          .drainedZones(ImmutableSet.of(ZoneName.of("suva")))
          .lostZones(ImmutableSet.of(ZoneName.of("nadi")))
          .retiringUpstreams(ImmutableSet.of(U1))
          .retiringHosts(ImmutableSet.of(HostId.of("h1")))
          .build();
  private static final Assignment ASSIGNMENT =
      new Assignment(
          DESK,
          SUVA,
          Epoch.of(3, 9),
          ImmutableSortedMap.of(
              0, SlotOwner.of(U2, Epoch.of(3, 1)),
              1, SlotOwner.of(U2, Epoch.of(3, 1)),
              2, SlotOwner.of(U2, Epoch.of(3, 2)),
              5, SlotOwner.NONE,
              7, SlotOwner.of(U1, Epoch.of(2, 4))),
          ImmutableMap.of("key/1", SlotOwner.of(U1, Epoch.of(3, 5)), "k", SlotOwner.NONE));

  @Test
  void roundTripsEveryKindOfRow() {
    assertRoundTrip(
        new RowValue.CellRow(
            HostId.of("h1"), 4, ImmutableSortedSet.of(HostId.of("h1"), HostId.of("h2")), 12));
    assertRoundTrip(
        new RowValue.HomeRow(new HomeMap(DESK, 2, ImmutableList.of(SUVA, SUVA, NADI, SUVA))));
    assertRoundTrip(new RowValue.AssignmentRow(ASSIGNMENT));
    assertRoundTrip(new RowValue.ConfigurationRow(CONFIGURATION));
    assertRoundTrip(new RowValue.ConfigurationRow(Configuration.EMPTY));
  }

  @Test
  void roundTripsEveryKindOfService() {
    for (ServiceKind kind :
        ImmutableList.of(
            ServiceKind.shared(),
            ServiceKind.keyed(),
            new ServiceKind.Keyed(2, CutOffRule.lapse(), GrantChecking.checked()))) {
      assertRoundTrip(new Intent.PutService(service(kind)));
    }
  }

  @Test
  void roundTripsEveryIntentAndItsPlan() {
    ZoneName zone = ZoneName.of("suva");
    for (Intent intent :
        ImmutableList.of(
            new Intent.PutService(SERVICE),
            new Intent.RemoveService(DESK),
            new Intent.DrainZone(zone),
            new Intent.ReturnZone(zone),
            new Intent.DeclareZoneLost(zone, true),
            new Intent.RetireUpstream(U1),
            new Intent.RetireHost(HostId.of("h1")))) {
      assertRoundTrip(intent);
      for (PlanRecord.State state : PlanRecord.State.values()) {
        assertRoundTrip(new RowValue.PlanRow(plan(intent, state)));
      }
    }
  }

  @Test
  void roundTripsDispatcherMaps() {
    var map = new DispatcherMap(SUVA, Epoch.of(1, 2), ImmutableMap.of(U1, HostId.of("h1")));

    assertThat(VersionedCodec.decode(RowCodec.parse(VersionedCodec.encode(map).toString())))
        .isEqualTo(map);
  }

  @Test
  void roundTripsCellLoads() {
    var load = new CellLoad(DESK, SUVA, Epoch.of(1, 2), new CellLoad.Measured(9, 31.5, 0.25, 40));

    assertThat(VersionedCodec.decode(RowCodec.parse(VersionedCodec.encode(load).toString())))
        .isEqualTo(load);
  }

  @Test
  void writesOneRunForNeighbouringSlotsOfOneOwner() {
    var homes = new HomeMap(DESK, 1, ImmutableList.copyOf(Collections.nCopies(1 << 20, SUVA)));

    assertThat(VersionedCodec.encode(homes).toString().length()).isLessThan(200);
  }

  @Test
  void ignoresFieldsOfLaterVersions() {
    var node = (ObjectNode) RowCodec.encode(new RowValue.AssignmentRow(ASSIGNMENT));
    node.put("later", true);

    assertThat(RowCodec.decode(node)).isEqualTo(new RowValue.AssignmentRow(ASSIGNMENT));
  }

  @Test
  void reportsErrorsInARow() {
    assertThat(codeOf("{")).isEqualTo(PlatformException.Code.MALFORMED_JSON);
    assertThat(codeOf("{}")).isEqualTo(PlatformException.Code.MALFORMED_ROW);
    assertThat(codeOf("{\"kind\":\"other\"}")).isEqualTo(PlatformException.Code.UNKNOWN_KIND);
    assertThat(codeOf("{\"kind\":\"dispatchers\",\"cell\":\"A B\",\"version\":[1,1]}"))
        .isEqualTo(PlatformException.Code.MALFORMED_ROW);
    assertThat(codeOf(assignmentWith("[[0,2,0,1,1],[1,1,0,1,1]]")))
        .isEqualTo(PlatformException.Code.MALFORMED_ROW);
    assertThat(codeOf(assignmentWith("[[0,2,1,1,1]]")))
        .isEqualTo(PlatformException.Code.MALFORMED_ROW);
    assertThat(codeOf(assignmentWith("[[0,2000000000,0,1,1]]")))
        .isEqualTo(PlatformException.Code.MALFORMED_ROW);
  }

  @Test
  void reportsErrorsInAPlan() {
    var row = new RowValue.PlanRow(plan(new Intent.PutService(SERVICE), PlanRecord.State.OPEN));
    String json = RowCodec.encode(row).toString();
    assertThat(codeOf(json.replace("\"put-service\"", "\"other\"")))
        .isEqualTo(PlatformException.Code.UNKNOWN_KIND);
    assertThat(codeOf(json.replace("\"open\"", "\"other\"")))
        .isEqualTo(PlatformException.Code.UNKNOWN_KIND);
    assertThat(codeOf(json.replace("\"slotCount\":8,", "")))
        .isEqualTo(PlatformException.Code.MALFORMED_ROW);
    assertThat(RowCodec.decode(RowCodec.parse(json.replace("{\"id\"", "{\"later\":1,\"id\""))))
        .isEqualTo(row);
  }

  private static String assignmentWith(String slots) {
    return "{\"kind\":\"assignment\",\"service\":\"s\",\"cell\":\"c\",\"version\":[1,1],"
        + "\"owners\":[\"u\"],\"overrides\":{},\"slots\":"
        + slots
        + "}";
  }

  private static PlatformException.Code codeOf(String json) {
    return assertThrows(PlatformException.class, () -> RowCodec.decode(RowCodec.parse(json)))
        .code();
  }

  private static void assertRoundTrip(RowValue value) {
    String json = RowCodec.encode(value).toString();
    assertThat(RowCodec.decode(RowCodec.parse(json))).isEqualTo(value);
  }

  private static void assertRoundTrip(Intent intent) {
    var codec = new IntentCodec(new JsonFormat.Row());
    String json = codec.encode(intent).toString();
    assertThat(JsonFields.decode(codec.decoder(), RowCodec.parse(json))).isEqualTo(intent);
  }

  private static PlanRecord plan(Intent intent, PlanRecord.State state) {
    return new PlanRecord(
        new Plan(
            PlanId.of("p-1"),
            intent,
            6,
            ImmutableMap.of("order-desk/suva", Epoch.of(1, 2)),
            CONFIGURATION,
            ImmutableList.of(new Plan.Move(DESK, Optional.of(U1), Optional.empty(), 3)),
            ImmutableList.of(new Plan.Load("zone/suva", 1.25, 4)),
            Duration.ofSeconds(30),
            ImmutableList.of("zone nadi would exceed its limit")),
        state);
  }

  private static ServiceDefinition service(ServiceKind kind) {
    return new ServiceDefinition(
        DESK,
        kind,
        ImmutableSet.of(ZoneName.of("suva"), ZoneName.of("nadi")),
        ImmutableList.of(
            new UpstreamDefinition(
                U1, ZoneName.of("suva"), SUVA, NetworkAddress.of("127.0.0.1", 9), 4, 130)),
        20);
  }
}
