package org.catkinlift.admission;

import java.util.Comparator;

/**
 * The rank of a request among those that compete for one upstream.
 *
 * <p>The priority of a tenant precedes that of its routes, which orders the requests of equal
 * tenants. Requests above the usual rate of their tenant follow those of all tenants of the same
 * priority, so that they only use capacity that is free.
 *
 * @param priority the priority of the tenant, or that of the route if the tenant has none; 0 is the
 *     highest
 * @param isAboveUsualRate whether the tenant sends more than usual, and this request is among the
 *     surplus
 * @param routePriority the priority of the route; 0 is the highest
 */
public record RequestRank(int priority, boolean isAboveUsualRate, int routePriority)
    implements Comparable<RequestRank> {
  private static final Comparator<RequestRank> ORDER =
      Comparator.comparingInt(RequestRank::priority)
          .thenComparing(RequestRank::isAboveUsualRate)
          .thenComparingInt(RequestRank::routePriority);

  private static final int CLASSES_PER_PRIORITY = 2;
  private static final int MAX_PRIORITY = Integer.MAX_VALUE / CLASSES_PER_PRIORITY - 1;

  /**
   * Returns the rank of a request without a tenant.
   *
   * @param priority the priority of the route
   * @return the rank
   */
  public static RequestRank ofRoute(int priority) {
    return new RequestRank(priority, false, priority);
  }

  /**
   * Returns the class of the request in load reports and {@link AdmissionShares}. The surplus of
   * each priority has a class of its own, so that it neither competes with requests at the usual
   * rate nor with those of another priority.
   *
   * @return the class; 0 is the highest
   */
  public int admissionClass() {
    return Math.min(priority, MAX_PRIORITY) * CLASSES_PER_PRIORITY + (isAboveUsualRate ? 1 : 0);
  }

  @Override
  public int compareTo(RequestRank other) {
    return ORDER.compare(this, other);
  }
}
