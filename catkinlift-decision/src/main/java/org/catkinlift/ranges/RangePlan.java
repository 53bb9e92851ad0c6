package org.catkinlift.ranges;

import com.google.common.collect.ImmutableMap;

/**
 * The next map of a service.
 *
 * @param map the map
 * @param reasons why each assignment with a new fencing token was made, by fencing token
 */
public record RangePlan(RangeMap map, ImmutableMap<Long, ReassignmentReason> reasons) {

  /** Returns a plan that assigns no keys under a new fencing token. */
  static RangePlan withoutReassignments(RangeMap map) {
    return new RangePlan(map, ImmutableMap.of());
  }
}
