package org.catkinlift.protocol;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableListMultimap;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.stream.Stream;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestClass;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.RequestId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against frames that lose the class, the epoch or the outcome of a request. Each of these
 * losses could run an order twice.
 */
final class RelayCodecTest {
  private static final ImmutableListMultimap<String, String> HEADERS =
      ImmutableListMultimap.of("accept", "text/plain", "accept", "text/html");

  static Stream<RelayFrame> frames() {
    return Stream.of(
        new RelayFrame.Request(5, head(RequestClass.AT_MOST_ONCE, 17)),
        new RelayFrame.Request(6, head(RequestClass.REPEATABLE, -1)),
        new RelayFrame.Body(5, ByteString.copyFromUtf8("two pads"), true),
        new RelayFrame.Response(5, 201, HEADERS),
        new RelayFrame.Failure(
            5, Outcome.notRun(RefusalCode.UPSTREAM_SHED, Duration.ofMillis(100))),
        new RelayFrame.Failure(5, Outcome.unknown(RefusalCode.CONNECTION_LOST)),
        new RelayFrame.Credit(5, 65_536),
        new RelayFrame.Cancel(5));
  }

  private static RelayHead head(RequestClass requestClass, int slot) {
    return RelayHead.builder()
        .request(
            RequestDescription.builder()
                .id(RequestId.of("r-1"))
                .service(ServiceName.of("order-desk"))
                .key("school-9")
                .requestClass(requestClass)
                .deadline(Duration.ofMillis(750))
                .build())
        .upstream(UpstreamId.of("desk-1"))
        .slot(slot)
        .epoch(Epoch.of(3, 4))
        .method("POST")
        .target("/orders/school-9?express=1")
        .headers(HEADERS)
        .hasBody(true)
        .build();
  }

  @ParameterizedTest
  @MethodSource("frames")
  void roundTripsFrame(RelayFrame frame) {
    assertThat(RelayCodec.decode(RelayCodec.encode(frame)).orElseThrow()).isEqualTo(frame);
  }
}
