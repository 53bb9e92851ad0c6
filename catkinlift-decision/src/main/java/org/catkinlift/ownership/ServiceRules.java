package org.catkinlift.ownership;

import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;

/** Reads the rules of a service that matter for leases and takeovers. */
final class ServiceRules {
  private ServiceRules() {}

  static Optional<ServiceKind.Keyed> keyed(ServiceDefinition service) {
    return switch (service.kind()) {
      case ServiceKind.Keyed k -> Optional.of(k);
      case ServiceKind.Shared s -> Optional.empty();
    };
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

  /** The time for which a request may start late at an upstream that checks no grants. */
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

  /** The time that others wait before they replace a cell that was declared lost. */
  static long isolationNanos(ServiceDefinition service, OwnershipTimings timings) {
    return hold(service)
        .flatMap(CutOffRule.Hold::isolationLimit)
        .map(timings::plusClockMargin)
        .orElse(0L);
  }
}
