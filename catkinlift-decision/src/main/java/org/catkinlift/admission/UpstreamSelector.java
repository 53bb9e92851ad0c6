package org.catkinlift.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Selects the upstream for a request that any upstream of its service may execute.
 *
 * <p>Load pattern: upstreams of different speed, some slowed temporarily. The upstream with the
 * lowest expected latency is selected; one in another availability zone must be better by a margin,
 * because traffic between zones has a cost (see {@link ZonePreference}). Among equal ones, those
 * with an open connection are preferred, so that a daemon with few requests keeps to few upstreams,
 * and to more of them when these are busy.
 */
public final class UpstreamSelector {
  /**
   * Candidates whose costs exceed the lowest one by at most this factor are chosen at random, so
   * that daemons do not all select the same.
   */
  private static final double TIE_FACTOR = 1.1;

  /**
   * The share of requests for which upstreams without an open connection are considered equal to
   * those with one. With many upstreams and few requests, a daemon would otherwise open a
   * connection for most requests, and each would have closed again before its next use.
   */
  private static final double EXPLORATION_SHARE = 0.03;

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
   * @param connected whether this daemon has an idle connection to it that the request may use
   */
  public record Candidate<T>(T upstream, long expectedNanos, boolean sameZone, boolean connected) {
    private long cost(long zoneMarginNanos) {
      return expectedNanos + (sameZone ? 0 : zoneMarginNanos);
    }
  }

  /**
   * Selects an upstream.
   *
   * @param <T> the type of upstreams
   * @param candidates the upstreams that may execute the request
   * @param zoneMarginNanos the advantage that an upstream in another availability zone must have
   * @return the selected upstream, or empty if there are no candidates
   */
  public <T> Optional<T> choose(List<Candidate<T>> candidates, long zoneMarginNanos) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    long lowestCost = Long.MAX_VALUE;
    for (Candidate<T> candidate : candidates) {
      lowestCost = Math.min(lowestCost, candidate.cost(zoneMarginNanos));
    }
    List<Candidate<T>> ties = new ArrayList<>();
    List<Candidate<T>> connected = new ArrayList<>();
    for (Candidate<T> candidate : candidates) {
      if (candidate.cost(zoneMarginNanos) <= lowestCost * TIE_FACTOR) {
        ties.add(candidate);
        if (candidate.connected()) {
          connected.add(candidate);
        }
      }
    }
    boolean explores = connected.isEmpty() || random.nextDouble() < EXPLORATION_SHARE;
    List<Candidate<T>> chosenFrom = explores ? ties : connected;
    return Optional.of(chosenFrom.get(random.nextInt(chosenFrom.size())).upstream());
  }
}
