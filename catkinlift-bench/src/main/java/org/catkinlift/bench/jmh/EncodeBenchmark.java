package org.catkinlift.bench.jmh;

import com.google.common.collect.ImmutableListMultimap;
import java.util.concurrent.TimeUnit;
import org.catkinlift.bench.traffic.RouteSamples;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.protocol.RelayCodec;
import org.catkinlift.protocol.RelayFrame;
import org.catkinlift.protocol.RelayHead;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** Measures the cost of encoding the head of a relayed request. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class EncodeBenchmark {
  private static final int STREAM = 70_000;
  private static final int SLOT = 700;

  private final RelayHead head =
      RelayHead.builder()
          .request(RouteSamples.request())
          .upstream(UpstreamId.of("desk-suva-1"))
          .slot(SLOT)
          .epoch(Epoch.of(1, 1))
          .method("GET")
          .target("/lookup/school-1")
          .headers(ImmutableListMultimap.of("accept", "*/*", "user-agent", "caller"))
          .hasBody(false)
          .build();

  /**
   * Encodes the frame with the head of a relayed request.
   *
   * @return the encoded frame
   */
  @Benchmark
  public byte[] relayHead() {
    return RelayCodec.encode(new RelayFrame.Request(STREAM, head)).toByteArray();
  }
}
