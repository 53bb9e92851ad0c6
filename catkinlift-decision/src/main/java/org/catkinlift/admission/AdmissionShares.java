package org.catkinlift.admission;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import org.catkinlift.model.UpstreamId;

/**
 * The shares of requests that overloaded upstreams can take, computed by the coordinator from the
 * reports of all daemons.
 *
 * @param byUpstream the share by admission class, for each overloaded upstream
 */
public record AdmissionShares(
    ImmutableMap<UpstreamId, ImmutableSortedMap<Integer, Double>> byUpstream) {
  /** Admits all requests. */
  public static final AdmissionShares ADMIT_ALL = new AdmissionShares(ImmutableMap.of());

  private static final double FULL_SHARE = 1;

  /**
   * Decides whether to admit a request.
   *
   * @param upstream the upstream that has to execute the request
   * @param admissionClass the {@link RequestRank#admissionClass} of the request
   * @param random a random number from 0 to 1
   * @return false if the request is among those that the upstream cannot take
   */
  public boolean admits(UpstreamId upstream, int admissionClass, double random) {
    return random < share(upstream, admissionClass);
  }

  /**
   * Returns the share of requests of a class that an upstream can take. A class that the
   * coordinator has not seen gets the share of the next lower one.
   *
   * @param upstream the upstream
   * @param admissionClass the {@link RequestRank#admissionClass}; 0 is the highest
   * @return the share, 0 to 1
   */
  public double share(UpstreamId upstream, int admissionClass) {
    ImmutableSortedMap<Integer, Double> sharesByPriority = byUpstream.get(upstream);
    if (sharesByPriority == null) {
      return FULL_SHARE;
    }
    Map.Entry<Integer, Double> entry = sharesByPriority.ceilingEntry(admissionClass);
    return entry == null ? sharesByPriority.lastEntry().getValue() : entry.getValue();
  }
}
