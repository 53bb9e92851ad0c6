package org.catkinlift.admission.replay;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.catkinlift.admission.RequestRank;
import org.catkinlift.admission.TenantUsage;
import org.catkinlift.admission.Urgency;
import org.catkinlift.model.TenantName;
import org.junit.jupiter.api.Test;

/**
 * Replays a large tenant that sends eight times its usual load for eight seconds to a service that
 * all tenants share. Guards against other tenants of the same priority that are crowded out.
 */
final class TenantBurstReplayTest {
  private static final Duration TARGET = Duration.ofMillis(400);
  private static final Duration CALLER_TIMEOUT = Duration.ofMillis(1_200);
  private static final double BURST_START_SECONDS = 60;
  private static final double BURST_END_SECONDS = 68;
  private static final double BURST_FACTOR = 8;
  private static final double WORK_MILLIS = 80;
  private static final int UPSTREAMS = 8;
  private static final int SLOTS = 4;
  private static final int QUEUE_CAPACITY = 24;
  private static final int DAEMONS = 6;
  private static final int TENANTS = 20;

  /** 60 % of the 400 requests/s that the upstreams can execute; a fifth is sent by one tenant. */
  private static final double REQUESTS_PER_SECOND = 240;

  private static final double LARGE_TENANT_SHARE = 0.2;
  private static final int LARGE_TENANT = 0;

  /** The target allows other tenants no loss; this covers the randomness of the runs. */
  private static final double TOLERANCE = 0.02;

  /** No tenant may be served less than this, relative to all tenants together. */
  private static final double LEAST_RELATIVE_SHARE = 0.25;

  private record Shares(double large, double others, double all) {}

  private static Shares replay(double burstFactor, boolean knowsTenants, long seed) {
    var random = new SplittableRandom(seed);
    var time = new VirtualTime();
    List<SimulatedUpstream> upstreams = new ArrayList<>();
    List<Integer> zones = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      upstreams.add(new SimulatedUpstream(time, SLOTS, QUEUE_CAPACITY, 1));
      zones.add(0);
    }
    List<TenantUsage> usages = new ArrayList<>();
    List<SimulatedBalancer> daemons = new ArrayList<>();
    for (int i = 0; i < DAEMONS; i++) {
      usages.add(new TenantUsage(0));
      daemons.add(new SimulatedBalancer(time, upstreams, zones, 0, 0, true, random.split()));
    }
    int[] sent = new int[TENANTS];
    int[] answered = new int[TENANTS];
    double seconds = 0;
    while (seconds < BURST_END_SECONDS) {
      double factor = seconds >= BURST_START_SECONDS ? burstFactor : 1;
      double largeRate = REQUESTS_PER_SECOND * LARGE_TENANT_SHARE * factor;
      double otherRate = REQUESTS_PER_SECOND * (1 - LARGE_TENANT_SHARE);
      seconds += -Math.log(1 - random.nextDouble()) / (largeRate + otherRate);
      boolean isLarge = random.nextDouble() < largeRate / (largeRate + otherRate);
      int tenant = isLarge ? LARGE_TENANT : 1 + random.nextInt(TENANTS - 1);
      int daemon = random.nextInt(DAEMONS);
      long workNanos = (long) (WORK_MILLIS * 1e6 * (0.5 + random.nextDouble()));
      long nanos = (long) (seconds * 1e9);
      boolean counted = seconds >= BURST_START_SECONDS;
      sent[tenant] += counted ? 1 : 0;
      time.at(
          nanos,
          () -> {
            TenantName name = TenantName.of("t" + tenant);
            boolean above = usages.get(daemon).isAboveUsualRate(name, nanos) && knowsTenants;
            var urgency =
                new Urgency(
                    new RequestRank(1, above, 1),
                    nanos + TARGET.toNanos(),
                    nanos + CALLER_TIMEOUT.toNanos());
            Runnable onAnswer = () -> answered[tenant] += counted ? 1 : 0;
            daemons.get(daemon).receive(new SimulatedRequest(urgency, workNanos, 1), onAnswer);
          });
    }
    time.run();
    return shares(sent, answered);
  }

  private static Shares shares(int[] sent, int[] answered) {
    double others = 0;
    double answeredOthers = 0;
    for (int i = 1; i < TENANTS; i++) {
      others += sent[i];
      answeredOthers += answered[i];
    }
    return new Shares(
        answered[LARGE_TENANT] / (double) sent[LARGE_TENANT],
        answeredOthers / others,
        (answeredOthers + answered[LARGE_TENANT]) / (others + sent[LARGE_TENANT]));
  }

  private static Shares replayAll(double burstFactor, boolean knowsTenants) {
    double large = 0;
    double others = 0;
    double all = 0;
    int runs = 5;
    for (long seed = 1; seed <= runs; seed++) {
      Shares shares = replay(burstFactor, knowsTenants, seed);
      large += shares.large() / runs;
      others += shares.others() / runs;
      all += shares.all() / runs;
    }
    return new Shares(large, others, all);
  }

  @Test
  void burstCostsOtherTenantsOnlyFreeCapacity() {
    Shares usual = replayAll(1, true);
    Shares burst = replayAll(BURST_FACTOR, true);
    Shares unknownTenants = replayAll(BURST_FACTOR, false);

    assertThat(burst.others()).isAtLeast(usual.others() - TOLERANCE);
    assertThat(unknownTenants.others()).isLessThan(usual.others() - TOLERANCE);
    assertThat(burst.large()).isAtLeast(LEAST_RELATIVE_SHARE * burst.all());
  }
}
