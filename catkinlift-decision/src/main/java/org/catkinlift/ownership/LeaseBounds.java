package org.catkinlift.ownership;

import java.time.Duration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.ServiceDefinition;

/** Computes the maximum duration of the grants and dispatch leases of each service. */
final class LeaseBounds {
  private final CellContext context;
  private final RoleAuthority cellAuthority;
  private final RoleAuthority takeoverAuthority;

  LeaseBounds(CellContext context, RoleAuthority cellAuthority, RoleAuthority takeoverAuthority) {
    this.context = context;
    this.cellAuthority = cellAuthority;
    this.takeoverAuthority = takeoverAuthority;
  }

  /** Returns the term of the takeover role if this daemon holds it, otherwise 0. */
  long takeoverTerm() {
    return takeoverAuthority.isHolder() ? takeoverAuthority.term() : 0;
  }

  /** Returns the time until which this daemon may assign and grant the slots of a service. */
  long authorityUntil(ServiceDefinition service, long nowNanos) {
    long until = cellAuthority.authorityUntil(nowNanos);
    return ServiceRules.isLapse(service)
        ? Math.min(until, takeoverAuthority.authorityUntil(nowNanos))
        : until;
  }

  /**
   * Returns the time by which all grants of a service must expire, with its isolation limit
   * applied.
   */
  long grantUntil(ServiceDefinition service, long nowNanos) {
    long until = authorityUntil(service, nowNanos);
    return ServiceRules.hold(service)
        .flatMap(CutOffRule.Hold::isolationLimit)
        .map(limit -> Math.min(until, context.platform().lastAnswerAt() + limit.toNanos()))
        .orElse(until);
  }

  /** Returns the time by which all dispatch leases of a service must expire. */
  long dispatchUntil(ServiceDefinition service, long nowNanos) {
    return grantUntil(service, nowNanos);
  }

  /**
   * Returns the duration of a grant, which is long while the platform is unreachable if the cut-off
   * rule is {@code hold}.
   */
  Duration grantLease(ServiceDefinition service, long nowNanos) {
    Duration lease = context.timings().grantLease();
    if (!context.platform().isOutage(nowNanos)) {
      return lease;
    }
    return ServiceRules.hold(service).map(CutOffRule.Hold::longPromise).orElse(lease);
  }

  /**
   * Returns the duration of a dispatch lease: that of a grant, but always short if the upstream
   * does not check grants and only the lease protects it from a former dispatcher.
   */
  Duration dispatchLease(ServiceDefinition service, long nowNanos) {
    boolean unchecked = ServiceRules.startBound(service).isPresent();
    return unchecked ? context.timings().grantLease() : grantLease(service, nowNanos);
  }
}
