package org.catkinlift.ranges;

import java.time.Duration;
import java.util.Optional;

/** What the coordinator of a service wants done. */
public sealed interface RangeAction {

  /** Read the map of the service from the store. */
  record ReadMap() implements RangeAction {}

  /**
   * Write the map if it still has a version and this daemon still has the role.
   *
   * @param map the new map
   * @param expectedVersion the version that the stored map must have; 0 if there must be none
   */
  record WriteMap(RangeMap map, long expectedVersion) implements RangeAction {}

  /**
   * Grant keys to their holder, or renew the grant.
   *
   * @param callId identifies the answer
   * @param assignment the keys, their holder and its fencing token
   * @param duration how long the holder may use the keys from the arrival of the call
   * @param handover what the previous holder said when it released the keys
   */
  record Grant(
      long callId, RangeAssignment assignment, Duration duration, Optional<String> handover)
      implements RangeAction {}

  /**
   * Take keys back from an earlier holder.
   *
   * @param callId identifies the answer
   * @param from the earlier holder
   * @param range the keys
   * @param fence a fencing token above all that the earlier holder had for these keys
   */
  record Release(long callId, Holder from, KeyRange range, long fence) implements RangeAction {}
}
