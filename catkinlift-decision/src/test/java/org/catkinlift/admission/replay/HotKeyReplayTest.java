package org.catkinlift.admission.replay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.admission.OverloadShares;
import org.catkinlift.admission.Urgency;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

/**
 * Replays one busy key: for five seconds several times more requests than its holder can answer,
 * spread over many daemons. Guards against a holder that answers all it can, but late.
 */
final class HotKeyReplayTest {
  private static final UpstreamId HOLDER = UpstreamId.of("u-1");
  private static final int SLOTS = 4;
  private static final int PLACES = 16;
  private static final Duration LENGTH = Duration.ofSeconds(5);
  private static final Duration REPORTS = Duration.ofMillis(250);
  private static final Duration TARGET = Duration.ofMillis(600);
  private static final Duration PATIENCE = Duration.ofMillis(1_500);
  private static final double LOOKUP_MILLIS = 140;
  private static final double ORDER_MILLIS = 180;

  /** What the callers of one replay got. */
  private record Result(double share, int resets) {}

  /** A load pattern at one site. */
  private record Pattern(int daemons, double lookupsPerSecond, double ordersPerSecond) {}

  private static Result replay(Pattern pattern, boolean withShares, long seed) {
    var random = new SplittableRandom(seed);
    var time = new VirtualTime();
    var upstream = new ModelUpstream(time, SLOTS, PLACES, 1);
    List<ModelDaemon> daemons = new ArrayList<>();
    for (int i = 0; i < pattern.daemons(); i++) {
      daemons.add(new ModelDaemon(time, HOLDER, upstream, SLOTS, random.split()));
    }
    var overload = new OverloadShares(0);
    arrivals(time, random, pattern.lookupsPerSecond(), 2, 1, LOOKUP_MILLIS, daemons, overload);
    arrivals(time, random, pattern.ordersPerSecond(), 1, 2, ORDER_MILLIS, daemons, overload);
    if (withShares) {
      time.every(REPORTS, LENGTH.toNanos(), () -> tellShares(time, overload, daemons));
    }
    time.run();
    double credit = daemons.stream().mapToDouble(ModelDaemon::credit).sum();
    double owed = daemons.stream().mapToDouble(ModelDaemon::owed).sum();
    return new Result(credit / owed, daemons.stream().mapToInt(ModelDaemon::resets).sum());
  }

  private static void arrivals(
      VirtualTime time,
      SplittableRandom random,
      double perSecond,
      int priority,
      double worth,
      double workMillis,
      List<ModelDaemon> daemons,
      OverloadShares overload) {
    for (double at = 0; at < LENGTH.toSeconds(); at += -Math.log(random.nextDouble()) / perSecond) {
      long nanos = (long) (at * 1e9);
      long work = (long) (workMillis * 1e6 * (0.5 + random.nextDouble()));
      var urgency = new Urgency(priority, nanos + TARGET.toNanos(), nanos + PATIENCE.toNanos());
      ModelDaemon daemon = daemons.get(random.nextInt(daemons.size()));
      time.at(
          nanos,
          () -> {
            overload.add(HOLDER, priority, workMillis / 1e3);
            daemon.take(new ModelRequest(urgency, work, worth));
          });
    }
  }

  private static void tellShares(
      VirtualTime time, OverloadShares overload, List<ModelDaemon> daemons) {
    overload.update(ImmutableMap.of(HOLDER, (double) SLOTS), time.now());
    AdmissionShares shares = overload.shares();
    time.after(REPORTS, () -> daemons.forEach(d -> d.apply(shares)));
  }

  /** Sums over seeds, because one replay of five seconds is short. */
  private static Result sum(Pattern pattern, boolean withShares) {
    double share = 0;
    int resets = 0;
    for (long seed = 1; seed <= 5; seed++) {
      Result result = replay(pattern, withShares, seed);
      share += result.share() / 5;
      resets += result.resets();
    }
    return new Result(share, resets);
  }

  @Test
  void manyDaemonsWithOneBusyKeyServeMoreInTime() {
    var pattern = new Pattern(66, 160, 4);

    Result without = sum(pattern, false);
    Result with = sum(pattern, true);

    assertThat(with.share()).isAtLeast(1.3 * without.share());
    assertThat(with.resets()).isLessThan(without.resets() / 2);
  }

  @Test
  void fewDaemonsWithOneBusyKeyServeNoLess() {
    var pattern = new Pattern(11, 100, 4);

    Result without = sum(pattern, false);
    Result with = sum(pattern, true);

    assertThat(with.share()).isAtLeast(without.share());
  }

  @Test
  void anUpstreamThatBearsItsWorkLosesNothing() {
    var pattern = new Pattern(66, 14, 4);

    assertThat(sum(pattern, true).share()).isAtLeast(0.97 * sum(pattern, false).share());
  }
}
