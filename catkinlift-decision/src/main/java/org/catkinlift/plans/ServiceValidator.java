package org.catkinlift.plans;

import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/** Validates service definitions submitted by operators. */
final class ServiceValidator {
  private ServiceValidator() {}

  /** Returns the problems of a definition; empty if it is valid. */
  static ImmutableList<String> problems(
      ServiceDefinition proposed, Configuration current, ImmutableSet<HostDefinition> hosts) {
    ServiceDefinition existing = current.services().get(proposed.name());
    if (proposed.equals(existing)) {
      return ImmutableList.of("service " + proposed.name() + " already has this definition");
    }
    var problems = ImmutableList.<String>builder();
    if (proposed.upstreams().isEmpty()) {
      problems.add("service " + proposed.name() + " has no upstreams");
    }
    if (existing != null && !hasSamePartitioning(existing.kind(), proposed.kind())) {
      problems.add(
          "service "
              + proposed.name()
              + " cannot change how its keys are divided; create a new one");
    }
    problems.addAll(upstreamProblems(proposed, current, hosts));
    return problems.build();
  }

  private static boolean hasSamePartitioning(ServiceKind before, ServiceKind after) {
    return switch (before) {
      case ServiceKind.Shared s -> after instanceof ServiceKind.Shared;
      case ServiceKind.Keyed k ->
          after instanceof ServiceKind.Keyed a && a.slotCount() == k.slotCount();
    };
  }

  private static ImmutableList<String> upstreamProblems(
      ServiceDefinition proposed, Configuration current, ImmutableSet<HostDefinition> hosts) {
    ImmutableMap<CellId, ZoneName> zoneOfCell =
        hosts.stream()
            .collect(toImmutableMap(HostDefinition::cell, HostDefinition::zone, (a, b) -> a));
    ImmutableSet<UpstreamId> usedByOthers = upstreamsOfOtherServices(proposed, current);
    var seen = new HashSet<UpstreamId>();
    var problems = ImmutableList.<String>builder();
    for (UpstreamDefinition upstream : proposed.upstreams()) {
      if (!seen.add(upstream.id())) {
        problems.add("upstream " + upstream.id() + " is named twice");
      }
      if (usedByOthers.contains(upstream.id())) {
        problems.add("upstream " + upstream.id() + " belongs to another service");
      }
      if (!proposed.zones().contains(upstream.zone())) {
        problems.add(
            "upstream "
                + upstream.id()
                + " is in "
                + upstream.zone()
                + ", where the service is not");
      }
      if (!upstream.zone().equals(zoneOfCell.get(upstream.cell()))) {
        problems.add(
            "upstream %s names cell %s, which has no known host in availability zone %s"
                .formatted(upstream.id(), upstream.cell(), upstream.zone()));
      }
    }
    return problems.build();
  }

  private static ImmutableSet<UpstreamId> upstreamsOfOtherServices(
      ServiceDefinition proposed, Configuration current) {
    return current.services().values().stream()
        .filter(s -> !s.name().equals(proposed.name()))
        .flatMap(s -> s.upstreams().stream())
        .map(UpstreamDefinition::id)
        .collect(toImmutableSet());
  }
}
