package org.catkinlift.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Selects the upstream for a request that any upstream of its service may execute.
 *
 * <p>Load pattern: upstreams of different speed, some slowed temporarily. The upstream with the
 * lowest expected latency is selected; one in another availability zone must be better by a margin,
 * because traffic between zones has a cost.
 */
public final class UpstreamSelector {
  private static final Duration CROSS_ZONE_PENALTY = Duration.ofMillis(250);

  /**
   * Candidates whose costs differ by at most this are chosen at random, so that daemons do not all
   * select the same.
   */
  private static final Duration TIE_MARGIN = Duration.ofMillis(10);

  private final SplittableRandom random;

  /**
   * Creates a selector.
   *
   * @param random breaks ties
   */
  public UpstreamSelector(SplittableRandom random) {
    this.random = random;
  }

  /**
   * An upstream that may be selected.
   *
   * @param <T> the type of upstreams
   * @param upstream the upstream
   * @param expectedNanos the expected latency of a request sent now
   * @param sameZone whether it is in this daemon's availability zone
   */
  public record Candidate<T>(T upstream, long expectedNanos, boolean sameZone) {
    private long cost() {
      return expectedNanos + (sameZone ? 0 : CROSS_ZONE_PENALTY.toNanos());
    }
  }

  /**
   * Selects an upstream.
   *
   * @param <T> the type of upstreams
   * @param candidates the upstreams that may execute the request
   * @return the selected upstream, or empty if there are no candidates
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
