package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import org.catkinlift.bench.Scenario;

/** The scenarios of the traffic path. */
public final class TrafficScenarios {
  private TrafficScenarios() {}

  /**
   * Returns all scenarios.
   *
   * @return the scenarios in execution order
   */
  public static ImmutableList<Scenario> all() {
    return ImmutableList.of(
        new KeyedTailLatency(),
        SharedTailLatency.againstRoundRobin(),
        SharedTailLatency.againstMisleadingReports(),
        SharedImbalance.equalUpstreams(),
        SharedImbalance.oneSlower(),
        new RetryBurst(),
        ColdStart.announced(),
        ColdStart.unannounced(),
        new SilentConnections());
  }
}
