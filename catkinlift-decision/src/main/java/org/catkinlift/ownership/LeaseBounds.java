package org.catkinlift.ownership;

import java.time.Duration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.ServiceDefinition;

/** Computes how long grants and dispatch leases of each service may last. */
final class LeaseBounds {
  private final CellContext context;
  private final CellAuthority cell;
  private final CellAuthority takeover;

  LeaseBounds(CellContext context, CellAuthority cell, CellAuthority takeover) {
    this.context = context;
    this.cell = cell;
    this.takeover = takeover;
  }

  /** Returns the term of the takeover role, if this daemon holds it, else 0. */
  long takeoverTerm() {
    return takeover.isHolder() ? takeover.term() : 0;
  }

  /** Returns until when slots of a service may be decided and granted. */
  long authorityUntil(ServiceDefinition service, long nowNanos) {
    long until = cell.until(nowNanos);
    return ServiceRules.isLapse(service) ? Math.min(until, takeover.until(nowNanos)) : until;
  }

  /** Returns the time beyond which no grant may reach, isolation limit included. */
  long grantUntil(ServiceDefinition service, long nowNanos) {
    long until = authorityUntil(service, nowNanos);
    return ServiceRules.hold(service)
        .flatMap(CutOffRule.Hold::isolationLimit)
        .map(limit -> Math.min(until, context.platform().answeredAt() + limit.toNanos()))
        .orElse(until);
  }

  /** Returns the time beyond which no dispatch lease may reach. */
  long dispatchUntil(ServiceDefinition service, long nowNanos) {
    return grantUntil(service, nowNanos);
  }

  /** Returns the lease of a grant: long while the platform is unreachable under {@code hold}. */
  Duration wantedGrant(ServiceDefinition service, long nowNanos) {
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
  Duration wantedDispatch(ServiceDefinition service, long nowNanos) {
    boolean unchecked = ServiceRules.startBound(service).isPresent();
    return unchecked ? context.timings().grantLease() : wantedGrant(service, nowNanos);
  }
}
