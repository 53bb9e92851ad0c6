package org.catkinlift.admission;

/**
 * The priority of a request and the times by which it must be answered.
 *
 * @param priority the priority; 0 is the highest
 * @param targetNanos the time up to which an answer has its full value
 * @param deadlineNanos the time up to which an answer has any value
 */
public record Urgency(int priority, long targetNanos, long deadlineNanos) {

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
