package org.catkinlift.admission.replay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.catkinlift.admission.AdmissionShareController;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.admission.Urgency;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

/**
 * Replays one hot key: for five seconds, several times more requests than its holder can answer
 * arrive at many daemons. Guards against a holder that answers as many requests as it can, but
 * late.
 */
final class HotKeyReplayTest {
  private static final UpstreamId HOLDER = UpstreamId.of("u-1");
  private static final int SLOTS = 4;
  private static final int QUEUE_CAPACITY = 16;
  private static final Duration DURATION = Duration.ofSeconds(5);
  private static final Duration SHARE_INTERVAL = Duration.ofMillis(250);
  private static final Duration TARGET = Duration.ofMillis(600);
  private static final Duration CALLER_TIMEOUT = Duration.ofMillis(1_500);
  private static final double LOOKUP_MILLIS = 140;
  private static final double ORDER_MILLIS = 180;

  /** The outcome of one replay for its callers. */
  private record Result(double valueShare, int resets) {}

  /** The load at one site. */
  private record LoadPattern(int daemons, double lookupsPerSecond, double ordersPerSecond) {}

  private static Result replay(LoadPattern pattern, boolean withShares, long seed) {
    var random = new SplittableRandom(seed);
    var time = new VirtualTime();
    var upstream = new SimulatedUpstream(time, SLOTS, QUEUE_CAPACITY, 1);
    List<SimulatedDaemon> daemons = new ArrayList<>();
    for (int i = 0; i < pattern.daemons(); i++) {
      daemons.add(new SimulatedDaemon(time, HOLDER, upstream, SLOTS, random.split()));
    }
    var controller = new AdmissionShareController(0);
    scheduleArrivals(
        time, random, pattern.lookupsPerSecond(), 2, 1, LOOKUP_MILLIS, daemons, controller);
    scheduleArrivals(
        time, random, pattern.ordersPerSecond(), 1, 2, ORDER_MILLIS, daemons, controller);
    if (withShares) {
      time.every(
          SHARE_INTERVAL, DURATION.toNanos(), () -> publishShares(time, controller, daemons));
    }
    time.run();
    double earned = daemons.stream().mapToDouble(SimulatedDaemon::earnedValue).sum();
    double offered = daemons.stream().mapToDouble(SimulatedDaemon::offeredValue).sum();
    return new Result(earned / offered, daemons.stream().mapToInt(SimulatedDaemon::resets).sum());
  }

  private static void scheduleArrivals(
      VirtualTime time,
      SplittableRandom random,
      double perSecond,
      int priority,
      double value,
      double workMillis,
      List<SimulatedDaemon> daemons,
      AdmissionShareController controller) {
    for (double arrivalSeconds = 0;
        arrivalSeconds < DURATION.toSeconds();
        arrivalSeconds += -Math.log(random.nextDouble()) / perSecond) {
      long nanos = (long) (arrivalSeconds * 1e9);
      long workNanos = (long) (workMillis * 1e6 * (0.5 + random.nextDouble()));
      var urgency =
          new Urgency(priority, nanos + TARGET.toNanos(), nanos + CALLER_TIMEOUT.toNanos());
      SimulatedDaemon daemon = daemons.get(random.nextInt(daemons.size()));
      time.at(
          nanos,
          () -> {
            controller.add(HOLDER, priority, workMillis / 1e3);
            daemon.receive(new SimulatedRequest(urgency, workNanos, value));
          });
    }
  }

  private static void publishShares(
      VirtualTime time, AdmissionShareController controller, List<SimulatedDaemon> daemons) {
    controller.update(ImmutableMap.of(HOLDER, (double) SLOTS), time.now());
    AdmissionShares shares = controller.shares();
    time.after(SHARE_INTERVAL, () -> daemons.forEach(d -> d.apply(shares)));
  }

  /**
   * Averages the share and sums the resets over several seeds, because one replay of five seconds
   * is short.
   */
  private static Result replayAll(LoadPattern pattern, boolean withShares) {
    double valueShare = 0;
    int resets = 0;
    for (long seed = 1; seed <= 5; seed++) {
      Result result = replay(pattern, withShares, seed);
      valueShare += result.valueShare() / 5;
      resets += result.resets();
    }
    return new Result(valueShare, resets);
  }

  @Test
  void sharesRaiseOnTimeAnswersToOneHotKeyWithManyDaemons() {
    var pattern = new LoadPattern(66, 160, 4);

    Result without = replayAll(pattern, false);
    Result with = replayAll(pattern, true);

    assertThat(with.valueShare()).isAtLeast(1.3 * without.valueShare());
    assertThat(with.resets()).isLessThan(without.resets() / 2);
  }

  @Test
  void sharesDoNotLowerAnswersToOneHotKeyWithFewDaemons() {
    var pattern = new LoadPattern(11, 100, 4);

    Result without = replayAll(pattern, false);
    Result with = replayAll(pattern, true);

    assertThat(with.valueShare()).isAtLeast(without.valueShare());
  }

  @Test
  void sharesCostLittleWithinTheCapacity() {
    var pattern = new LoadPattern(66, 14, 4);

    assertThat(replayAll(pattern, true).valueShare())
        .isAtLeast(0.97 * replayAll(pattern, false).valueShare());
  }
}
