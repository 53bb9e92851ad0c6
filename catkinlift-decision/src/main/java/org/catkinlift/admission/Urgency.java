package org.catkinlift.admission;

/**
 * When a request must be answered, and its rank.
 *
 * @param priority the rank; 0 is the highest
 * @param targetNanos until when an answer has its full worth
 * @param deadlineNanos until when an answer is of use
 */
public record Urgency(int priority, long targetNanos, long deadlineNanos) {

  /**
   * Tells whether an answer can still have its full worth.
   *
   * @param nowNanos the time
   * @param serviceNanos how long the upstream is expected to work
   * @return true if the work can end in time
   */
  public boolean isInTime(long nowNanos, long serviceNanos) {
    return nowNanos + serviceNanos <= targetNanos;
  }
}
