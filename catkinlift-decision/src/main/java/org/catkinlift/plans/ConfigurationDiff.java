package org.catkinlift.plans;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.MapDifference;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import java.util.Set;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceName;

/** Describes the differences between two configurations in text for operators. */
final class ConfigurationDiff {
  private ConfigurationDiff() {}

  /** Returns one description for each difference. */
  static ImmutableList<String> describe(Configuration before, Configuration after) {
    var descriptions = ImmutableList.<String>builder();
    MapDifference<ServiceName, ServiceDefinition> services =
        Maps.difference(before.services(), after.services());
    services
        .entriesOnlyOnRight()
        .keySet()
        .forEach(s -> descriptions.add("service " + s + " created"));
    services
        .entriesDiffering()
        .keySet()
        .forEach(s -> descriptions.add("service " + s + " changed"));
    services
        .entriesOnlyOnLeft()
        .keySet()
        .forEach(s -> descriptions.add("service " + s + " removed"));
    descriptions.addAll(
        describe("availability zone", "drained", before.drainedZones(), after.drainedZones()));
    descriptions.addAll(
        describe("availability zone", "declared lost", before.lostZones(), after.lostZones()));
    descriptions.addAll(
        describe("upstream", "retired", before.retiringUpstreams(), after.retiringUpstreams()));
    descriptions.addAll(describe("host", "retired", before.retiringHosts(), after.retiringHosts()));
    return descriptions.build();
  }

  private static <T> ImmutableList<String> describe(
      String kind, String change, Set<T> before, Set<T> after) {
    var descriptions = ImmutableList.<String>builder();
    Sets.difference(after, before).forEach(t -> descriptions.add(kind + " " + t + " " + change));
    Sets.difference(before, after)
        .forEach(t -> descriptions.add(kind + " " + t + " no longer " + change));
    return descriptions.build();
  }
}
