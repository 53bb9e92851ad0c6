package org.catkinlift.ownership;

import java.time.Duration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.ServiceDefinition;

/** Computes how long grants and dispatch leases of each service may last. */
final class LeaseBounds {
  private final CellContext context;
  private final RoleAuthority cellAuthority;
  private final RoleAuthority takeoverAuthority;

  LeaseBounds(CellContext context, RoleAuthority cellAuthority, RoleAuthority takeoverAuthority) {
    this.context = context;
    this.cellAuthority = cellAuthority;
    this.takeoverAuthority = takeoverAuthority;
  }

  /** Returns the term of the takeover role, if this daemon holds it, else 0. */
  long takeoverTerm() {
    return takeoverAuthority.isHolder() ? takeoverAuthority.term() : 0;
  }

  /** Returns until when slots of a service may be decided and granted. */
  long authorityUntil(ServiceDefinition service, long nowNanos) {
    long until = cellAuthority.authorityUntil(nowNanos);
    return ServiceRules.isLapse(service)
        ? Math.min(until, takeoverAuthority.authorityUntil(nowNanos))
        : until;
  }

  /** Returns the time beyond which no grant may reach, isolation limit included. */
  long grantUntil(ServiceDefinition service, long nowNanos) {
    long until = authorityUntil(service, nowNanos);
    return ServiceRules.hold(service)
        .flatMap(CutOffRule.Hold::isolationLimit)
        .map(limit -> Math.min(until, context.platform().lastAnswerAt() + limit.toNanos()))
        .orElse(until);
  }

  /** Returns the time beyond which no dispatch lease may reach. */
  long dispatchUntil(ServiceDefinition service, long nowNanos) {
    return grantUntil(service, nowNanos);
  }

  /** Returns the lease of a grant: long while the platform is unreachable under {@code hold}. */
  Duration grantLease(ServiceDefinition service, long nowNanos) {
    Duration lease = context.timings().grantLease();
    if (!context.platform().isOutage(nowNanos)) {
      return lease;
    }
    return ServiceRules.hold(service).map(CutOffRule.Hold::longPromise).orElse(lease);
  }

  /**
   * Returns the lease of a dispatcher: as long as a grant, but always short if only the lease
   * protects the upstream.
   */
  Duration dispatchLease(ServiceDefinition service, long nowNanos) {
    boolean unchecked = ServiceRules.startBound(service).isPresent();
    return unchecked ? context.timings().grantLease() : grantLease(service, nowNanos);
  }
}
