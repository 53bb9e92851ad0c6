package org.catkinlift.ownership;

import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;

/** Accessors for the rules of a service that affect leases and takeovers. */
final class ServiceRules {
  private ServiceRules() {}

  static Optional<ServiceKind.Keyed> keyed(ServiceDefinition service) {
    return switch (service.kind()) {
      case ServiceKind.Keyed k -> Optional.of(k);
      case ServiceKind.Shared s -> Optional.empty();
    };
  }

  /**
   * Returns the number of slots of a keyed service.
   *
   * @throws java.util.NoSuchElementException if the service is not partitioned by key
   */
  static int slotCount(ServiceDefinition service) {
    return keyed(service).map(ServiceKind.Keyed::slotCount).orElseThrow();
  }

  static boolean isLapse(ServiceDefinition service) {
    return keyed(service).isPresent() && hold(service).isEmpty();
  }

  static Optional<CutOffRule.Hold> hold(ServiceDefinition service) {
    return keyed(service)
        .map(ServiceKind.Keyed::cutOffRule)
        .flatMap(
            r ->
                switch (r) {
                  case CutOffRule.Hold h -> Optional.of(h);
                  case CutOffRule.Lapse l -> Optional.empty();
                });
  }

  /**
   * Returns how late a request may still start at an upstream that does not check grants; empty if
   * grants are checked.
   */
  static Optional<Duration> startBound(ServiceDefinition service) {
    return keyed(service)
        .map(ServiceKind.Keyed::grantChecking)
        .flatMap(
            c ->
                switch (c) {
                  case GrantChecking.Checked k -> Optional.empty();
                  case GrantChecking.Unchecked u -> Optional.of(u.startBound());
                });
  }

  /**
   * Returns how long other cells wait before they take over the slots of a cell that was declared
   * lost.
   */
  static long isolationNanos(ServiceDefinition service, OwnershipTimings timings) {
    return hold(service)
        .flatMap(CutOffRule.Hold::isolationLimit)
        .map(timings::plusClockMargin)
        .orElse(0L);
  }
}
