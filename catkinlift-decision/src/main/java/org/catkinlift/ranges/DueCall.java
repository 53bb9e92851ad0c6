package org.catkinlift.ranges;

/** A grant or release that is due. */
sealed interface DueCall {
  /** The grant of an assignment to its holder. */
  record DueGrant(AssignmentState state) implements DueCall {}

  /** The release of an assignment's keys by a previous holder. */
  record DueRelease(AssignmentState state, Holder from) implements DueCall {}

  /**
   * Returns the time by which the call has to start, by which due calls are ordered. Keys without a
   * grant are not served, so their calls are late already; a renewal has time.
   */
  default long deadlineNanos() {
    return switch (this) {
      case DueGrant grant -> grant.state().grantDeadlineNanos();
      case DueRelease release -> release.state().pendingReleases().get(release.from()).dueNanos();
    };
  }

  default GrantDestination destination() {
    return switch (this) {
      case DueGrant grant -> grant.state().assignment().holder().destination();
      case DueRelease release -> release.from().destination();
    };
  }

  default CallKind kind() {
    return switch (this) {
      case DueGrant grant -> CallKind.GRANT;
      case DueRelease release -> CallKind.RELEASE;
    };
  }
}
