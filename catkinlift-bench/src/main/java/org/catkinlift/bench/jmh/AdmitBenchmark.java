package org.catkinlift.bench.jmh;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.catkinlift.bench.traffic.RouteSamples;
import org.catkinlift.limits.AttemptResult;
import org.catkinlift.limits.DispatchAction;
import org.catkinlift.limits.UpstreamDispatcher;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.UpstreamId;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.infra.Blackhole;

/** Measures the cost of admitting one request and processing its response. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class AdmitBenchmark {
  private static final UpstreamId UPSTREAM = UpstreamId.of("upstream");
  private static final HostId SELF = HostId.of("self");
  private static final Epoch EPOCH = Epoch.of(1, 1);
  private static final long REQUEST_INTERVAL_NANOS = 1_000;
  private static final long READY_NANOS = Duration.ofSeconds(1).toNanos();

  private final RequestDescription request = RouteSamples.request();
  private final AttemptResult result =
      new AttemptResult.Answered(Duration.ofMillis(10), "instance");
  private final UpstreamDispatcher dispatcher = new UpstreamDispatcher(UPSTREAM, SELF, 4, 0);
  private long attempt;
  private long nowNanos = READY_NANOS;

  /**
   * Grants a lease to the dispatcher and reports that the upstream has no requests of other
   * dispatchers.
   *
   * @param blackhole consumes the actions
   */
  @Setup
  public void grantLease(Blackhole blackhole) {
    var lease = new DispatchLease(UPSTREAM, SELF, EPOCH, Duration.ofDays(1));
    blackhole.consume(dispatcher.leaseGranted(lease, 0));
    blackhole.consume(dispatcher.inheritedRequestsReported(0, READY_NANOS, READY_NANOS));
  }

  /**
   * Admits a request and completes it with a response.
   *
   * @param blackhole consumes the actions on admission
   * @return the actions on completion
   */
  @Benchmark
  public ImmutableList<DispatchAction> admitAndComplete(Blackhole blackhole) {
    nowNanos += REQUEST_INTERVAL_NANOS;
    attempt++;
    blackhole.consume(dispatcher.offer(attempt, request, 1, EPOCH, nowNanos));
    return dispatcher.completed(attempt, result, nowNanos);
  }
}
