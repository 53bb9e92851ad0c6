package org.catkinlift.protocol;

import com.google.common.collect.ImmutableListMultimap;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestClass;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.RequestId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.protocol.generated.Frame;
import org.catkinlift.protocol.generated.HeaderProto;
import org.catkinlift.protocol.generated.RelayBodyFrame;
import org.catkinlift.protocol.generated.RelayCancelFrame;
import org.catkinlift.protocol.generated.RelayCreditFrame;
import org.catkinlift.protocol.generated.RelayFailureFrame;
import org.catkinlift.protocol.generated.RelayRequestFrame;
import org.catkinlift.protocol.generated.RelayResponseFrame;

/** Converts relay frames to and from protobuf frames. */
public final class RelayCodec {
  private RelayCodec() {}

  /**
   * Encodes a relay frame.
   *
   * @param relay the frame
   * @return the protobuf frame
   */
  public static Frame encode(RelayFrame relay) {
    var frame = Frame.newBuilder();
    return switch (relay) {
      case RelayFrame.Request r -> frame.setRelayRequest(encodeRequest(r)).build();
      case RelayFrame.Body b ->
          frame
              .setRelayBody(
                  RelayBodyFrame.newBuilder()
                      .setStream(b.stream())
                      .setData(b.data())
                      .setLast(b.last()))
              .build();
      case RelayFrame.Response r ->
          frame
              .setRelayResponse(
                  RelayResponseFrame.newBuilder()
                      .setStream(r.stream())
                      .setStatus(r.status())
                      .addAllHeaders(encodeHeaders(r.headers())))
              .build();
      case RelayFrame.Failure f -> frame.setRelayFailure(encodeFailure(f)).build();
      case RelayFrame.Credit c ->
          frame
              .setRelayCredit(
                  RelayCreditFrame.newBuilder().setStream(c.stream()).setBytes(c.bytes()))
              .build();
      case RelayFrame.Cancel c ->
          frame.setRelayCancel(RelayCancelFrame.newBuilder().setStream(c.stream())).build();
    };
  }

  /**
   * Decodes a protobuf frame.
   *
   * @param frame the protobuf frame
   * @return the relay frame, or empty if the frame is not a relay frame
   * @throws ProtocolException with code {@code MALFORMED_FRAME} if a field is malformed
   */
  public static Optional<RelayFrame> decode(Frame frame) {
    try {
      return Optional.ofNullable(decodeOrNull(frame));
    } catch (RuntimeException e) {
      throw new ProtocolException(
          ProtocolException.Code.MALFORMED_FRAME, "cannot decode " + frame.getBodyCase(), e);
    }
  }

  private static RelayFrame decodeOrNull(Frame frame) {
    return switch (frame.getBodyCase()) {
      case RELAY_REQUEST -> decodeRequest(frame.getRelayRequest());
      case RELAY_BODY -> decodeBody(frame.getRelayBody());
      case RELAY_RESPONSE -> decodeResponse(frame.getRelayResponse());
      case RELAY_FAILURE -> decodeFailure(frame.getRelayFailure());
      case RELAY_CREDIT ->
          new RelayFrame.Credit(
              frame.getRelayCredit().getStream(), frame.getRelayCredit().getBytes());
      case RELAY_CANCEL -> new RelayFrame.Cancel(frame.getRelayCancel().getStream());
      case OPEN,
          PING,
          PONG,
          HELLO,
          HEARTBEAT,
          HEARTBEAT_ACK,
          PROMISE_REQUEST,
          PROMISE,
          DIGEST,
          PULL,
          PULL_REPLY,
          LEAVING,
          BODY_NOT_SET ->
          null;
    };
  }

  private static RelayRequestFrame encodeRequest(RelayFrame.Request request) {
    RelayHead head = request.head();
    return RelayRequestFrame.newBuilder()
        .setStream(request.stream())
        .setRequestId(head.request().id().value())
        .setService(head.request().service().value())
        .setKey(head.request().key())
        .setAtMostOnce(isAtMostOnce(head.request().requestClass()))
        .setDeadlineNanos(head.request().deadline().toNanos())
        .setUpstream(head.upstream().value())
        .setSlot(head.slot() + 1)
        .setEpoch(ModelCodec.encode(head.epoch()))
        .setMethod(head.method())
        .setTarget(head.target())
        .addAllHeaders(encodeHeaders(head.headers()))
        .setHasBody(head.hasBody())
        .build();
  }

  private static boolean isAtMostOnce(RequestClass requestClass) {
    return switch (requestClass) {
      case RequestClass.AtMostOnce atMostOnce -> true;
      case RequestClass.Repeatable repeatable -> false;
    };
  }

  private static RelayFrame decodeRequest(RelayRequestFrame frame) {
    RequestDescription request =
        RequestDescription.builder()
            .id(RequestId.of(frame.getRequestId()))
            .service(ServiceName.of(frame.getService()))
            .key(frame.getKey())
            .requestClass(
                frame.getAtMostOnce() ? RequestClass.AT_MOST_ONCE : RequestClass.REPEATABLE)
            .deadline(Duration.ofNanos(frame.getDeadlineNanos()))
            .build();
    RelayHead head =
        RelayHead.builder()
            .request(request)
            .upstream(UpstreamId.of(frame.getUpstream()))
            .slot(frame.getSlot() - 1)
            .epoch(ModelCodec.decode(frame.getEpoch()))
            .method(frame.getMethod())
            .target(frame.getTarget())
            .headers(decodeHeaders(frame.getHeadersList()))
            .hasBody(frame.getHasBody())
            .build();
    return new RelayFrame.Request(frame.getStream(), head);
  }

  private static RelayFrame decodeBody(RelayBodyFrame frame) {
    return new RelayFrame.Body(frame.getStream(), frame.getData(), frame.getLast());
  }

  private static RelayFrame decodeResponse(RelayResponseFrame frame) {
    return new RelayFrame.Response(
        frame.getStream(), frame.getStatus(), decodeHeaders(frame.getHeadersList()));
  }

  private static RelayFailureFrame encodeFailure(RelayFrame.Failure failure) {
    var builder = RelayFailureFrame.newBuilder().setStream(failure.stream());
    return switch (failure.outcome()) {
      case Outcome.NotRun n ->
          builder
              .setNotRun(true)
              .setCode(n.code().name())
              .setRetryAfterNanos(n.retryAfter().toNanos())
              .build();
      case Outcome.Unknown u -> builder.setCode(u.code().name()).build();
      case Outcome.Answered a ->
          throw new IllegalArgumentException("answered request cannot be encoded as a failure");
    };
  }

  private static RelayFrame decodeFailure(RelayFailureFrame frame) {
    RefusalCode code = RefusalCode.valueOf(frame.getCode());
    Outcome outcome =
        frame.getNotRun()
            ? Outcome.notRun(code, Duration.ofNanos(frame.getRetryAfterNanos()))
            : Outcome.unknown(code);
    return new RelayFrame.Failure(frame.getStream(), outcome);
  }

  private static List<HeaderProto> encodeHeaders(ImmutableListMultimap<String, String> headers) {
    return headers.entries().stream()
        .map(h -> HeaderProto.newBuilder().setName(h.getKey()).setValue(h.getValue()).build())
        .toList();
  }

  private static ImmutableListMultimap<String, String> decodeHeaders(List<HeaderProto> headers) {
    var builder = ImmutableListMultimap.<String, String>builder();
    headers.forEach(h -> builder.put(h.getName(), h.getValue()));
    return builder.build();
  }
}
