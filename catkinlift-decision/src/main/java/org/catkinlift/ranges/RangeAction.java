package org.catkinlift.ranges;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;

/** An action that a {@link RangeCoordinator} requests. */
public sealed interface RangeAction {
  /**
   * The longest time from the end of a coordinator's role to the arrival of its last call. Whoever
   * carries out an action sends nothing after the role has ended, and gives up a call that has no
   * answer by then.
   */
  Duration MAX_DELIVERY_DELAY = Duration.ofMillis(1_100);

  /** Read the range map of the service from the store. */
  record ReadMap() implements RangeAction {}

  /**
   * Write the range map if its version is unchanged and this daemon still holds the coordinator
   * role.
   *
   * @param map the new map
   * @param expectedVersion the version that the stored map must have; 0 if it must not exist
   * @param reasons why each assignment with a new fencing token was made, by fencing token
   */
  record WriteMap(
      RangeMap map, long expectedVersion, ImmutableMap<Long, ReassignmentReason> reasons)
      implements RangeAction {}

  /**
   * Grant keys to their holder, or renew the grant.
   *
   * @param callId identifies the call when its result is reported
   * @param assignment the keys, their holder and its fencing token
   * @param duration how long the holder may use the keys, from the arrival of the call
   * @param handover the data that the previous holder returned when it released the keys
   * @param reason why the grant is sent
   */
  record Grant(
      long callId,
      RangeAssignment assignment,
      Duration duration,
      Optional<String> handover,
      GrantReason reason)
      implements RangeAction {}

  /**
   * Revoke keys from a previous holder.
   *
   * @param callId identifies the call when its result is reported
   * @param from the previous holder
   * @param range the keys to release
   * @param fence a fencing token higher than any that the previous holder had for these keys
   */
  record Release(long callId, Holder from, KeyRange range, long fence) implements RangeAction {}
}
