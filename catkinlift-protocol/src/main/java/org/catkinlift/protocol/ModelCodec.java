package org.catkinlift.protocol;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.Epoch;
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
import org.catkinlift.protocol.generated.AddressProto;
import org.catkinlift.protocol.generated.CheckedProto;
import org.catkinlift.protocol.generated.ConfigurationProto;
import org.catkinlift.protocol.generated.EpochProto;
import org.catkinlift.protocol.generated.HoldProto;
import org.catkinlift.protocol.generated.HostProto;
import org.catkinlift.protocol.generated.KeyedProto;
import org.catkinlift.protocol.generated.LapseProto;
import org.catkinlift.protocol.generated.ServiceProto;
import org.catkinlift.protocol.generated.SharedProto;
import org.catkinlift.protocol.generated.UncheckedProto;
import org.catkinlift.protocol.generated.UpstreamProto;

/** Converts the configuration and its parts to and from protobuf messages. */
final class ModelCodec {
  private ModelCodec() {}

  static EpochProto encode(Epoch epoch) {
    return EpochProto.newBuilder().setTerm(epoch.term()).setCounter(epoch.counter()).build();
  }

  static Epoch decode(EpochProto proto) {
    return Epoch.of(proto.getTerm(), proto.getCounter());
  }

  static HostProto encode(HostDefinition host) {
    return HostProto.newBuilder()
        .setId(host.id().value())
        .setZone(host.zone().value())
        .setCell(host.cell().value())
        .setPeerAddress(encode(host.peerAddress()))
        .build();
  }

  static HostDefinition decode(HostProto proto) {
    return new HostDefinition(
        HostId.of(proto.getId()),
        ZoneName.of(proto.getZone()),
        CellId.of(proto.getCell()),
        decode(proto.getPeerAddress()));
  }

  static ConfigurationProto encode(Configuration configuration) {
    return ConfigurationProto.newBuilder()
        .setVersion(configuration.version())
        .addAllServices(configuration.services().values().stream().map(ModelCodec::encode).toList())
        .addAllDrainedZones(toStrings(configuration.drainedZones()))
        .addAllLostZones(toStrings(configuration.lostZones()))
        .addAllRetiringUpstreams(toStrings(configuration.retiringUpstreams()))
        .addAllRetiringHosts(toStrings(configuration.retiringHosts()))
        .build();
  }

  static Configuration decode(ConfigurationProto proto) {
    var services = ImmutableMap.<ServiceName, ServiceDefinition>builder();
    for (ServiceProto service : proto.getServicesList()) {
      ServiceDefinition definition = decode(service);
      services.put(definition.name(), definition);
    }
    return Configuration.builder()
        .version(proto.getVersion())
        .services(services.buildOrThrow())
        .drainedZones(
            proto.getDrainedZonesList().stream().map(ZoneName::of).collect(toImmutableSet()))
        .lostZones(proto.getLostZonesList().stream().map(ZoneName::of).collect(toImmutableSet()))
        .retiringUpstreams(
            proto.getRetiringUpstreamsList().stream().map(UpstreamId::of).collect(toImmutableSet()))
        .retiringHosts(
            proto.getRetiringHostsList().stream().map(HostId::of).collect(toImmutableSet()))
        .build();
  }

  private static List<String> toStrings(ImmutableSet<? extends Record> ids) {
    return ids.stream().map(Record::toString).toList();
  }

  private static ServiceProto encode(ServiceDefinition service) {
    var builder =
        ServiceProto.newBuilder()
            .setName(service.name().value())
            .addAllZones(toStrings(service.zones()))
            .addAllUpstreams(service.upstreams().stream().map(ModelCodec::encode).toList())
            .setZoneLimit(service.zoneLimit());
    return switch (service.kind()) {
      case ServiceKind.Keyed keyed -> builder.setKeyed(encode(keyed)).build();
      case ServiceKind.Shared shared -> builder.setShared(SharedProto.getDefaultInstance()).build();
    };
  }

  private static ServiceDefinition decode(ServiceProto proto) {
    return new ServiceDefinition(
        ServiceName.of(proto.getName()),
        decodeKind(proto),
        proto.getZonesList().stream().map(ZoneName::of).collect(toImmutableSet()),
        proto.getUpstreamsList().stream().map(ModelCodec::decode).collect(toImmutableList()),
        proto.getZoneLimit());
  }

  private static ServiceKind decodeKind(ServiceProto proto) {
    return switch (proto.getKindCase()) {
      case KEYED -> decode(proto.getKeyed());
      case SHARED -> ServiceKind.shared();
      case KIND_NOT_SET -> throw missingField("kind of service " + proto.getName());
    };
  }

  private static KeyedProto encode(ServiceKind.Keyed keyed) {
    var builder = KeyedProto.newBuilder().setSlotCount(keyed.slotCount());
    switch (keyed.cutOffRule()) {
      case CutOffRule.Lapse lapse -> builder.setLapse(LapseProto.getDefaultInstance());
      case CutOffRule.Hold hold -> builder.setHold(encode(hold));
    }
    switch (keyed.grantChecking()) {
      case GrantChecking.Checked checked -> builder.setChecked(CheckedProto.getDefaultInstance());
      case GrantChecking.Unchecked unchecked ->
          builder.setUnchecked(
              UncheckedProto.newBuilder().setStartBoundNanos(unchecked.startBound().toNanos()));
    }
    return builder.build();
  }

  private static HoldProto encode(CutOffRule.Hold hold) {
    var builder = HoldProto.newBuilder().setLongPromiseNanos(hold.longPromise().toNanos());
    hold.isolationLimit().ifPresent(limit -> builder.setIsolationLimitNanos(limit.toNanos()));
    return builder.build();
  }

  private static ServiceKind decode(KeyedProto proto) {
    CutOffRule rule =
        switch (proto.getCutOffRuleCase()) {
          case LAPSE -> CutOffRule.lapse();
          case HOLD -> decode(proto.getHold());
          case CUTOFFRULE_NOT_SET -> throw missingField("cut-off rule");
        };
    GrantChecking checking =
        switch (proto.getGrantCheckingCase()) {
          case CHECKED -> GrantChecking.checked();
          case UNCHECKED ->
              new GrantChecking.Unchecked(
                  Duration.ofNanos(proto.getUnchecked().getStartBoundNanos()));
          case GRANTCHECKING_NOT_SET -> throw missingField("grant checking");
        };
    return new ServiceKind.Keyed(proto.getSlotCount(), rule, checking);
  }

  private static CutOffRule decode(HoldProto proto) {
    return new CutOffRule.Hold(
        Duration.ofNanos(proto.getLongPromiseNanos()),
        proto.hasIsolationLimitNanos()
            ? Optional.of(Duration.ofNanos(proto.getIsolationLimitNanos()))
            : Optional.empty());
  }

  private static UpstreamProto encode(UpstreamDefinition upstream) {
    return UpstreamProto.newBuilder()
        .setId(upstream.id().value())
        .setZone(upstream.zone().value())
        .setCell(upstream.cell().value())
        .setAddress(encode(upstream.address()))
        .setConcurrencyLimit(upstream.concurrencyLimit())
        .setConnectionLimit(upstream.connectionLimit())
        .build();
  }

  private static UpstreamDefinition decode(UpstreamProto proto) {
    return new UpstreamDefinition(
        UpstreamId.of(proto.getId()),
        ZoneName.of(proto.getZone()),
        CellId.of(proto.getCell()),
        decode(proto.getAddress()),
        proto.getConcurrencyLimit(),
        proto.getConnectionLimit());
  }

  private static AddressProto encode(NetworkAddress address) {
    return AddressProto.newBuilder().setIp(address.ip()).setPort(address.port()).build();
  }

  private static NetworkAddress decode(AddressProto proto) {
    return NetworkAddress.of(proto.getIp(), proto.getPort());
  }

  private static ProtocolException missingField(String field) {
    return new ProtocolException(ProtocolException.Code.MALFORMED_FRAME, "missing " + field);
  }
}
