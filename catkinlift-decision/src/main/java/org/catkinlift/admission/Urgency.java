package org.catkinlift.admission;

/**
 * The rank of a request and the times by which it must be answered.
 *
 * @param rank the rank among the requests for the same upstream
 * @param targetNanos the time up to which an answer has its full value
 * @param deadlineNanos the time up to which an answer has any value
 */
public record Urgency(RequestRank rank, long targetNanos, long deadlineNanos) {

  /**
   * Creates the urgency of a request without a tenant.
   *
   * @param priority the priority of the route; 0 is the highest
   * @param targetNanos the time up to which an answer has its full value
   * @param deadlineNanos the time up to which an answer has any value
   */
  public Urgency(int priority, long targetNanos, long deadlineNanos) {
    this(RequestRank.ofRoute(priority), targetNanos, deadlineNanos);
  }

  /**
   * Returns whether the request can still be answered by its target.
   *
   * @param nowNanos the current time
   * @param serviceNanos the expected service time at the upstream
   */
  public boolean isInTime(long nowNanos, long serviceNanos) {
    return nowNanos + serviceNanos <= targetNanos;
  }
}
