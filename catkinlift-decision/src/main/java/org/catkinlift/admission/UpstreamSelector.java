package org.catkinlift.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Chooses the upstream of a request that any upstream of its service may execute.
 *
 * <p>Load pattern: upstreams of different speed, some slowed for a moment. The choice is the least
 * expected time; an upstream in another availability zone must be better by a margin, because bytes
 * between zones cost.
 */
public final class UpstreamSelector {
  private static final Duration CROSS_ZONE_PENALTY = Duration.ofMillis(250);

  /** Differences below this are decided at random, so that daemons do not all choose the same. */
  private static final Duration TIE_MARGIN = Duration.ofMillis(10);

  private final SplittableRandom random;

  /**
   * Creates the rule.
   *
   * @param random decides between equals
   */
  public UpstreamSelector(SplittableRandom random) {
    this.random = random;
  }

  /**
   * What is known of one upstream.
   *
   * @param <T> the upstreams
   * @param upstream the upstream
   * @param expectedNanos how long a request sent now is expected to take
   * @param sameZone whether it is in this daemon's availability zone
   */
  public record Candidate<T>(T upstream, long expectedNanos, boolean sameZone) {
    private long cost() {
      return expectedNanos + (sameZone ? 0 : CROSS_ZONE_PENALTY.toNanos());
    }
  }

  /**
   * Chooses an upstream.
   *
   * @param <T> the upstreams
   * @param candidates the upstreams that may get the request
   * @return the choice, or empty if there is none
   */
  public <T> Optional<T> choose(List<Candidate<T>> candidates) {
    long lowestCost = candidates.stream().mapToLong(Candidate::cost).min().orElse(0);
    List<Candidate<T>> ties =
        candidates.stream().filter(o -> o.cost() - lowestCost <= TIE_MARGIN.toNanos()).toList();
    if (ties.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(ties.get(random.nextInt(ties.size())).upstream());
  }
}
