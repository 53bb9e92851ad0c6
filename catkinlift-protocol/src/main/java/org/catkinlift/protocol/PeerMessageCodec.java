package org.catkinlift.protocol;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.control.DigestRange;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.model.CellId;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.DispatchRelease;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.protocol.generated.DigestFrame;
import org.catkinlift.protocol.generated.DispatchLeaseProto;
import org.catkinlift.protocol.generated.DispatchReleaseProto;
import org.catkinlift.protocol.generated.Frame;
import org.catkinlift.protocol.generated.HeartbeatAckFrame;
import org.catkinlift.protocol.generated.HeartbeatFrame;
import org.catkinlift.protocol.generated.HelloFrame;
import org.catkinlift.protocol.generated.LeavingFrame;
import org.catkinlift.protocol.generated.PromiseFrame;
import org.catkinlift.protocol.generated.PromiseRequestFrame;
import org.catkinlift.protocol.generated.PullFrame;
import org.catkinlift.protocol.generated.PullReplyFrame;
import org.catkinlift.protocol.generated.UpstreamLoadProto;

/** Converts control messages to and from protobuf frames. */
public final class PeerMessageCodec {
  private PeerMessageCodec() {}

  /**
   * Encodes a message.
   *
   * @param message the message
   * @return the frame
   */
  public static Frame encode(PeerMessage message) {
    var frame = Frame.newBuilder();
    return switch (message) {
      case PeerMessage.Hello m -> frame.setHello(encodeHello(m)).build();
      case PeerMessage.Heartbeat m -> frame.setHeartbeat(encodeHeartbeat(m)).build();
      case PeerMessage.HeartbeatAck m -> frame.setHeartbeatAck(encodeHeartbeatAck(m)).build();
      case PeerMessage.PromiseRequest m -> frame.setPromiseRequest(encodePromiseRequest(m)).build();
      case PeerMessage.Promise m -> frame.setPromise(encodePromise(m)).build();
      case PeerMessage.Digest m -> frame.setDigest(encodeDigest(m)).build();
      case PeerMessage.Pull m ->
          frame.setPull(PullFrame.newBuilder().addAllNames(m.names())).build();
      case PeerMessage.PullReply m -> frame.setPullReply(encodePullReply(m)).build();
      case PeerMessage.Leaving m ->
          frame.setLeaving(LeavingFrame.newBuilder().setHost(m.host().value())).build();
    };
  }

  /**
   * Decodes a frame.
   *
   * @param frame the frame
   * @return the message, or empty if the frame is not a control message
   * @throws ProtocolException with code {@code MALFORMED_FRAME} if a field is missing or malformed
   */
  public static Optional<PeerMessage> decode(Frame frame) {
    try {
      return Optional.ofNullable(decodeOrNull(frame));
    } catch (ProtocolException e) {
      throw e;
    } catch (RuntimeException e) {
      throw new ProtocolException(
          ProtocolException.Code.MALFORMED_FRAME, "cannot decode " + frame.getBodyCase(), e);
    }
  }

  private static PeerMessage decodeOrNull(Frame frame) {
    return switch (frame.getBodyCase()) {
      case HELLO -> decodeHello(frame.getHello());
      case HEARTBEAT -> decodeHeartbeat(frame.getHeartbeat());
      case HEARTBEAT_ACK -> decodeHeartbeatAck(frame.getHeartbeatAck());
      case PROMISE_REQUEST -> decodePromiseRequest(frame.getPromiseRequest());
      case PROMISE -> decodePromise(frame.getPromise());
      case DIGEST -> decodeDigest(frame.getDigest());
      case PULL -> new PeerMessage.Pull(ImmutableList.copyOf(frame.getPull().getNamesList()));
      case PULL_REPLY -> decodePullReply(frame.getPullReply());
      case LEAVING -> new PeerMessage.Leaving(HostId.of(frame.getLeaving().getHost()));
      case OPEN,
          PING,
          PONG,
          RELAY_REQUEST,
          RELAY_BODY,
          RELAY_RESPONSE,
          RELAY_FAILURE,
          RELAY_CREDIT,
          RELAY_CANCEL,
          BODY_NOT_SET ->
          null;
    };
  }

  private static HelloFrame encodeHello(PeerMessage.Hello hello) {
    return HelloFrame.newBuilder()
        .setSelf(ModelCodec.encode(hello.self()))
        .addAllKnown(hello.known().stream().map(ModelCodec::encode).toList())
        .setWantsReply(hello.wantsReply())
        .build();
  }

  private static PeerMessage decodeHello(HelloFrame frame) {
    return new PeerMessage.Hello(
        ModelCodec.decode(frame.getSelf()),
        frame.getKnownList().stream().map(ModelCodec::decode).collect(toImmutableSet()),
        frame.getWantsReply());
  }

  private static HeartbeatFrame encodeHeartbeat(PeerMessage.Heartbeat heartbeat) {
    return HeartbeatFrame.newBuilder()
        .setCell(heartbeat.cell().value())
        .setTerm(heartbeat.term())
        .setSequence(heartbeat.sequence())
        .setAnswered(heartbeat.answered())
        .setDigest(encodeDigest(heartbeat.digest()))
        .setStream(heartbeat.range().incarnation())
        .setBaseDistance(heartbeat.sequence() - heartbeat.range().base())
        .setCoveredDistance(heartbeat.answered() - heartbeat.range().acknowledged())
        .addAllLeases(heartbeat.leases().stream().map(PeerMessageCodec::encodeLease).toList())
        .build();
  }

  private static PeerMessage decodeHeartbeat(HeartbeatFrame frame) {
    return new PeerMessage.Heartbeat(
        CellId.of(frame.getCell()),
        frame.getTerm(),
        frame.getSequence(),
        frame.getAnswered(),
        decodeDigest(frame.getDigest()),
        new DigestRange(
            frame.getStream(),
            frame.getSequence() - frame.getBaseDistance(),
            frame.getAnswered() - frame.getCoveredDistance()),
        frame.getLeasesList().stream()
            .map(PeerMessageCodec::decodeLease)
            .collect(toImmutableList()));
  }

  private static DispatchLeaseProto encodeLease(DispatchLease lease) {
    var builder =
        DispatchLeaseProto.newBuilder()
            .setUpstream(lease.upstream().value())
            .setHolder(lease.holder().value())
            .setEpoch(ModelCodec.encode(lease.epoch()))
            .setRemainingNanos(lease.remaining().toNanos());
    lease.priorRelease().map(PeerMessageCodec::encodeRelease).ifPresent(builder::setEarlier);
    return builder.build();
  }

  private static DispatchLease decodeLease(DispatchLeaseProto proto) {
    return new DispatchLease(
        UpstreamId.of(proto.getUpstream()),
        HostId.of(proto.getHolder()),
        ModelCodec.decode(proto.getEpoch()),
        Duration.ofNanos(proto.getRemainingNanos()),
        proto.hasEarlier() ? Optional.of(decodeRelease(proto.getEarlier())) : Optional.empty());
  }

  private static DispatchReleaseProto encodeRelease(DispatchRelease release) {
    return DispatchReleaseProto.newBuilder()
        .setEpoch(ModelCodec.encode(release.epoch()))
        .setRunning(release.running())
        .setStartsWithinNanos(release.startsWithin().toNanos())
        .setEndsWithinNanos(release.endsWithin().toNanos())
        .build();
  }

  private static DispatchRelease decodeRelease(DispatchReleaseProto proto) {
    return new DispatchRelease(
        ModelCodec.decode(proto.getEpoch()),
        proto.getRunning(),
        Duration.ofNanos(proto.getStartsWithinNanos()),
        Duration.ofNanos(proto.getEndsWithinNanos()));
  }

  private static HeartbeatAckFrame encodeHeartbeatAck(PeerMessage.HeartbeatAck ack) {
    return HeartbeatAckFrame.newBuilder()
        .setCell(ack.cell().value())
        .setTerm(ack.term())
        .setSequence(ack.sequence())
        .setDigest(encodeDigest(ack.digest()))
        .setStream(ack.range().incarnation())
        .setBaseDistance(ack.sequence() - ack.range().base())
        .setCoveredDistance(ack.sequence() - ack.range().acknowledged())
        .addAllLoads(ack.loads().stream().map(PeerMessageCodec::encodeLoad).toList())
        .build();
  }

  private static PeerMessage decodeHeartbeatAck(HeartbeatAckFrame frame) {
    return new PeerMessage.HeartbeatAck(
        CellId.of(frame.getCell()),
        frame.getTerm(),
        frame.getSequence(),
        decodeDigest(frame.getDigest()),
        new DigestRange(
            frame.getStream(),
            frame.getSequence() - frame.getBaseDistance(),
            frame.getSequence() - frame.getCoveredDistance()),
        frame.getLoadsList().stream().map(PeerMessageCodec::decodeLoad).collect(toImmutableList()));
  }

  private static UpstreamLoadProto encodeLoad(PeerMessage.UpstreamLoad load) {
    var builder =
        UpstreamLoadProto.newBuilder()
            .setUpstream(load.upstream().value())
            .setInstance(load.instance())
            .setCurrentLimit(load.currentLimit())
            .setInFlight(load.inFlight())
            .setQueued(load.queued());
    load.slotLoads().forEach((slot, work) -> builder.putSlotLoads(slot, work.floatValue()));
    load.keyLoads().forEach((key, work) -> builder.putKeyLoads(key, work.floatValue()));
    load.release().map(PeerMessageCodec::encodeRelease).ifPresent(builder::setRelease);
    return builder.build();
  }

  private static PeerMessage.UpstreamLoad decodeLoad(UpstreamLoadProto proto) {
    return new PeerMessage.UpstreamLoad(
        UpstreamId.of(proto.getUpstream()),
        proto.getInstance(),
        proto.getCurrentLimit(),
        proto.getInFlight(),
        proto.getQueued(),
        proto.getSlotLoadsMap().entrySet().stream()
            .collect(toImmutableMap(Map.Entry::getKey, e -> e.getValue().doubleValue())),
        proto.getKeyLoadsMap().entrySet().stream()
            .collect(toImmutableMap(Map.Entry::getKey, e -> e.getValue().doubleValue())),
        proto.hasRelease() ? Optional.of(decodeRelease(proto.getRelease())) : Optional.empty());
  }

  private static PromiseRequestFrame encodePromiseRequest(PeerMessage.PromiseRequest request) {
    return PromiseRequestFrame.newBuilder()
        .setRow(request.row())
        .setTerm(request.term())
        .setSequence(request.sequence())
        .setDurationNanos(request.duration().toNanos())
        .build();
  }

  private static PeerMessage decodePromiseRequest(PromiseRequestFrame frame) {
    return new PeerMessage.PromiseRequest(
        frame.getRow(),
        frame.getTerm(),
        frame.getSequence(),
        Duration.ofNanos(frame.getDurationNanos()));
  }

  private static PromiseFrame encodePromise(PeerMessage.Promise promise) {
    return PromiseFrame.newBuilder()
        .setRow(promise.row())
        .setTerm(promise.term())
        .setSequence(promise.sequence())
        .setDurationNanos(promise.duration().toNanos())
        .setNewestTerm(promise.newestTerm())
        .build();
  }

  private static PeerMessage decodePromise(PromiseFrame frame) {
    return new PeerMessage.Promise(
        frame.getRow(),
        frame.getTerm(),
        frame.getSequence(),
        Duration.ofNanos(frame.getDurationNanos()),
        frame.getNewestTerm());
  }

  private static DigestFrame encodeDigest(PeerMessage.Digest digest) {
    var builder = DigestFrame.newBuilder();
    digest.versions().forEach((name, epoch) -> builder.putVersions(name, ModelCodec.encode(epoch)));
    digest.age().ifPresent(age -> builder.setAgeNanos(age.toNanos()));
    return builder.build();
  }

  private static PeerMessage.Digest decodeDigest(DigestFrame frame) {
    return new PeerMessage.Digest(
        frame.getVersionsMap().entrySet().stream()
            .collect(toImmutableMap(Map.Entry::getKey, e -> ModelCodec.decode(e.getValue()))),
        frame.hasAgeNanos()
            ? Optional.of(Duration.ofNanos(frame.getAgeNanos()))
            : Optional.empty());
  }

  private static PullReplyFrame encodePullReply(PeerMessage.PullReply reply) {
    return PullReplyFrame.newBuilder()
        .addAllValues(reply.values().stream().map(VersionedCodec::encode).toList())
        .build();
  }

  private static PeerMessage decodePullReply(PullReplyFrame frame) {
    return new PeerMessage.PullReply(
        frame.getValuesList().stream().map(VersionedCodec::decode).collect(toImmutableList()));
  }
}
