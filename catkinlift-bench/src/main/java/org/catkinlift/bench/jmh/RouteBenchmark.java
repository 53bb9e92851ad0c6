package org.catkinlift.bench.jmh;

import com.google.common.collect.ImmutableSet;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.catkinlift.bench.Site;
import org.catkinlift.bench.traffic.RouteSamples;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.routing.RequestRouter;
import org.catkinlift.routing.RouteDecision;
import org.catkinlift.routing.RoutingSnapshot;
import org.catkinlift.routing.SharedUpstreamChooser;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** Measures the cost of one routing decision. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RouteBenchmark {
  private final RequestRouter router =
      new RequestRouter(new SharedUpstreamChooser(new SplittableRandom(1)));
  private final RoutingSnapshot keyed = RouteSamples.keyed(Site.TAVUA);
  private final RoutingSnapshot shared = RouteSamples.shared(Site.TAVUA);
  private final RequestDescription request = RouteSamples.request();
  private long nowNanos;

  /**
   * Routes a request of a keyed service with 30 upstreams.
   *
   * @return the decision
   */
  @Benchmark
  public RouteDecision keyed() {
    return router.route(keyed, request, ImmutableSet.of(), ++nowNanos);
  }

  /**
   * Routes a request of a shared service with 6 upstreams.
   *
   * @return the decision
   */
  @Benchmark
  public RouteDecision shared() {
    return router.route(shared, request, ImmutableSet.of(), ++nowNanos);
  }
}
