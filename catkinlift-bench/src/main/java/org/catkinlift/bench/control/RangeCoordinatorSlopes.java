package org.catkinlift.bench.control;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.ranges.Candidate;
import org.catkinlift.ranges.GrantResult;
import org.catkinlift.ranges.KeyLoad;
import org.catkinlift.ranges.KeyRange;
import org.catkinlift.ranges.RangeAction;
import org.catkinlift.ranges.RangeCoordinator;
import org.catkinlift.ranges.RangeMap;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * Measures the work of the coordinator of a keyed service at several numbers of upstreams: its
 * processor time in decisions, its calls to upstreams and its writes of the map, under a steady
 * skewed load, with calls that succeed at once.
 */
public final class RangeCoordinatorSlopes {
  private static final ImmutableList<Integer> UPSTREAM_COUNTS = ImmutableList.of(30, 65, 195, 390);
  private static final Duration MEASURED = Duration.ofSeconds(30);
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration MAX_GRANT_DURATION = Duration.ofSeconds(10);
  private static final Duration LOAD_TIME_CONSTANT = Duration.ofSeconds(2);
  private static final double NANOS_PER_MILLISECOND = Duration.ofMillis(1).toNanos();
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
  private static final int SLOTS = 4;
  private static final double UTILIZATION = 0.7;
  private static final int REQUESTS_PER_TICK = 400;
  private static final double KEY_SKEW = 1.6;

  private final ImmutableList<Candidate> candidates;
  private final KeyLoad load = new KeyLoad(LOAD_TIME_CONSTANT, 0);
  private final RangeCoordinator coordinator = new RangeCoordinator(MAX_GRANT_DURATION, load);
  private final SplittableRandom random = new SplittableRandom(1);
  private RangeMap storedMap = RangeMap.EMPTY;
  private long storedVersion;
  private long decisionNanos;
  private int calls;
  private int writes;

  private RangeCoordinatorSlopes(int upstreams) {
    candidates =
        IntStream.range(0, upstreams)
            .mapToObj(RangeCoordinatorSlopes::candidate)
            .collect(toImmutableList());
  }

  /**
   * Prints one comma-separated line for each number of upstreams.
   *
   * @param args not used
   */
  public static void main(String[] args) {
    System.out.println("upstreams, ranges, ms of decisions a second, calls a second, map writes");
    for (int upstreams : UPSTREAM_COUNTS) {
      System.out.println(new RangeCoordinatorSlopes(upstreams).measure());
    }
  }

  private static Candidate candidate(int number) {
    var upstream =
        UpstreamRecord.builder()
            .id(UpstreamId.of("upstream-" + number))
            .startedMillis(1)
            .service(ServiceName.of("orders"))
            .address(NetworkAddress.of("10.0." + number / 250 + "." + (number % 250 + 1), 80))
            .zone(ZoneName.of("zone-a"))
            .concurrencyLimit(SLOTS)
            .build();
    return new Candidate(upstream, SLOTS, true);
  }

  private String measure() {
    coordinator.start(0);
    for (long nowNanos = 0; nowNanos < MEASURED.toNanos(); nowNanos += TICK.toNanos()) {
      addLoad();
      round(nowNanos);
    }
    double seconds = MEASURED.toNanos() / NANOS_PER_SECOND;
    return String.format(
        Locale.ROOT,
        "%d, %d, %.1f, %.0f, %d",
        candidates.size(),
        storedMap.assignments().size(),
        decisionNanos / NANOS_PER_MILLISECOND / seconds,
        calls / seconds,
        writes);
  }

  private void addLoad() {
    double busySeconds =
        candidates.size() * SLOTS * UTILIZATION * TICK.toNanos() / NANOS_PER_SECOND;
    for (int i = 0; i < REQUESTS_PER_TICK; i++) {
      int key = (int) (Math.pow(random.nextDouble(), KEY_SKEW) * KeyRange.KEY_COUNT);
      load.add(key, busySeconds / REQUESTS_PER_TICK);
    }
  }

  private void round(long nowNanos) {
    long startNanos = System.nanoTime();
    ImmutableList<RangeAction> actions = coordinator.tick(candidates, nowNanos);
    actions.forEach(action -> execute(action, nowNanos));
    decisionNanos += System.nanoTime() - startNanos;
  }

  private void execute(RangeAction action, long nowNanos) {
    switch (action) {
      case RangeAction.ReadMap read -> coordinator.mapRead(storedMap, storedVersion, nowNanos);
      case RangeAction.WriteMap write -> {
        writes++;
        storedMap = write.map();
        storedVersion++;
        coordinator.mapWritten(storedVersion, nowNanos);
      }
      case RangeAction.Grant grant -> end(grant.callId(), Optional.empty(), nowNanos);
      case RangeAction.Release release -> end(release.callId(), Optional.of("h"), nowNanos);
    }
  }

  private void end(long callId, Optional<String> handover, long nowNanos) {
    calls++;
    coordinator.callEnded(callId, new GrantResult.Done(handover), nowNanos);
  }
}
