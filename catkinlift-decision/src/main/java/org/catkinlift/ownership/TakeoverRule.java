package org.catkinlift.ownership;

import java.time.Duration;
import org.catkinlift.control.RowValue.CellRow;
import org.catkinlift.model.HostId;

/** Decides when a daemon may try to take a role. */
final class TakeoverRule {
  private final HostId self;
  private final OwnershipTimings timings;
  private final PromiseBook book;

  TakeoverRule(HostId self, OwnershipTimings timings, PromiseBook book) {
    this.self = self;
    this.timings = timings;
    this.book = book;
  }

  /**
   * Tells whether this daemon may write itself into the row.
   *
   * <p>Its own promises must have ended, and the row must have been unchanged for as long as a
   * platform lease lasts. The conditional write fails if the row changes at the last moment.
   *
   * @param authority the role
   * @param longestPromise the longest promise that an earlier run of this process may have given
   */
  boolean mayTake(CellAuthority authority, Duration longestPromise, long nowNanos) {
    if (authority.isHolder() || !book.isFree(authority.rowName(), nowNanos)) {
      return false;
    }
    return authority
        .row()
        .map(row -> mayReplace(row, authority, longestPromise, nowNanos))
        .orElse(true);
  }

  private boolean mayReplace(
      CellRow row, CellAuthority authority, Duration longestPromise, long nowNanos) {
    if (!row.voters().contains(self)) {
      return false;
    }
    boolean own = row.holder().equals(self);
    if (!own && !book.isLongPromiseExcluded(longestPromise, nowNanos)) {
      return false;
    }
    return nowNanos - authority.unchangedSince() > timings.withMargin(timings.platformLease());
  }
}
