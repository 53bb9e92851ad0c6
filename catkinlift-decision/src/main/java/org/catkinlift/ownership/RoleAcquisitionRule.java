package org.catkinlift.ownership;

import java.time.Duration;
import org.catkinlift.control.RowValue.CellRow;
import org.catkinlift.model.HostId;

/** Decides when a daemon may try to acquire a role. */
final class RoleAcquisitionRule {
  private final HostId self;
  private final OwnershipTimings timings;
  private final PromiseRegistry promises;

  RoleAcquisitionRule(HostId self, OwnershipTimings timings, PromiseRegistry promises) {
    this.self = self;
    this.timings = timings;
    this.promises = promises;
  }

  /**
   * Returns whether this daemon may write itself into the row as the holder.
   *
   * <p>Its own promises must have expired, and the row must have been unchanged for the duration of
   * a platform lease. If the row changes after this check, the conditional write fails.
   *
   * @param authority the role
   * @param longestPromise the longest promise that an earlier run of this process may have given
   */
  boolean mayAcquire(RoleAuthority authority, Duration longestPromise, long nowNanos) {
    if (authority.isHolder() || !promises.allowsAcquisition(authority.rowName(), nowNanos)) {
      return false;
    }
    return authority
        .row()
        .map(row -> mayReplaceHolder(row, authority, longestPromise, nowNanos))
        .orElse(true);
  }

  private boolean mayReplaceHolder(
      CellRow row, RoleAuthority authority, Duration longestPromise, long nowNanos) {
    if (!row.voters().contains(self)) {
      return false;
    }
    boolean heldBySelf = row.holder().equals(self);
    if (!heldBySelf && !promises.isLongPromiseRuledOut(longestPromise, nowNanos)) {
      return false;
    }
    return nowNanos - authority.unchangedSince() > timings.plusClockMargin(timings.platformLease());
  }
}
