package org.catkinlift.placement;

import java.util.Collection;
import java.util.Map;
import org.catkinlift.model.UpstreamId;

/** Computes how unevenly load is distributed over upstreams. */
public final class Imbalance {
  private Imbalance() {}

  /**
   * Returns the maximum of load per capacity divided by its mean.
   *
   * @param loads the load of each upstream; an upstream without an entry has none
   * @param capacities the capacity of each upstream, all positive
   * @return the imbalance, at least 1; 1 if there is no load
   */
  public static double of(Map<UpstreamId, Double> loads, Map<UpstreamId, Double> capacities) {
    double mean = mean(loads, capacities);
    if (!(mean > 0)) {
      return 1;
    }
    return capacities.entrySet().stream()
            .mapToDouble(e -> loads.getOrDefault(e.getKey(), 0.0) / e.getValue())
            .max()
            .orElse(mean)
        / mean;
  }

  /**
   * Returns the lowest imbalance that any placement can reach, given that the load of a key cannot
   * be divided.
   *
   * @param largestKey the load of the heaviest key
   * @param total the load of all keys
   * @param capacities the capacity of each upstream, all positive
   * @return the lower bound, at least 1
   */
  public static double floor(double largestKey, double total, Map<UpstreamId, Double> capacities) {
    if (!(total > 0)) {
      return 1;
    }
    double largest = capacities.values().stream().mapToDouble(Double::doubleValue).max().orElse(1);
    return Math.max(1, largestKey / largest / (total / sum(capacities.values())));
  }

  /** Returns the load per capacity of all upstreams together. */
  static double mean(Map<UpstreamId, Double> loads, Map<UpstreamId, Double> capacities) {
    return sum(loads.values()) / sum(capacities.values());
  }

  private static double sum(Collection<Double> values) {
    return values.stream().mapToDouble(Double::doubleValue).sum();
  }
}
