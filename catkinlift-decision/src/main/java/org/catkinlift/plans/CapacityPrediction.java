package org.catkinlift.plans;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/** Predicts the load of the upstreams and availability zones of one service after a change. */
final class CapacityPrediction {
  private final ServiceDefinition service;
  private final Configuration result;
  private final PlanInputs inputs;
  private final ImmutableMap<UpstreamId, Integer> slotsAfter;

  CapacityPrediction(
      ServiceDefinition service,
      Configuration result,
      PlanInputs inputs,
      ImmutableMap<UpstreamId, Integer> slotsAfter) {
    this.service = service;
    this.result = result;
    this.inputs = inputs;
    this.slotsAfter = slotsAfter;
  }

  /** Returns the expected load of each remaining upstream. */
  ImmutableList<Plan.Load> upstreamLoads() {
    return remainingUpstreams().stream()
        .map(u -> new Plan.Load("upstream/" + u.id(), expectedLoad(u), u.concurrencyLimit()))
        .collect(toImmutableList());
  }

  /** Returns the expected load of this service in each availability zone, ordered by name. */
  ImmutableList<Plan.Load> zoneLoads() {
    var loads = new TreeMap<String, Double>();
    var capacities = new TreeMap<ZoneName, Integer>(zoneCapacities(remainingUpstreams()));
    remainingUpstreams().forEach(u -> loads.merge(u.zone().value(), expectedLoad(u), Double::sum));
    return capacities.entrySet().stream()
        .map(e -> zoneLoad(e.getKey(), loads.get(e.getKey().value()), e.getValue()))
        .collect(toImmutableList());
  }

  private static Plan.Load zoneLoad(ZoneName zone, double expected, int limit) {
    return new Plan.Load("zone/" + zone, expected, limit);
  }

  /** Returns why the remaining capacity is insufficient for the service; empty if it suffices. */
  ImmutableList<String> refusals() {
    if (remainingUpstreams().isEmpty()) {
      return refusalIfNoUpstreamRemains();
    }
    int capacity = capacity(remainingUpstreams());
    if (demand() > capacity && capacity < capacity(currentUpstreams())) {
      return ImmutableList.of(
          "service %s needs %.1f requests in flight, and the remaining upstreams bear %d"
              .formatted(service.name(), demand(), capacity));
    }
    ImmutableList<String> overloaded = overloadedUpstreams();
    return overloaded.isEmpty() ? overloadedZones() : overloaded;
  }

  /**
   * Returns a refusal if the change leaves the service without upstreams in any availability zone.
   */
  ImmutableList<String> refusalIfNoUpstreamRemains() {
    return remainingUpstreams().isEmpty()
        ? ImmutableList.of(
            "service " + service.name() + " would have no upstream left in any availability zone")
        : ImmutableList.of();
  }

  private ImmutableList<String> overloadedUpstreams() {
    return remainingUpstreams().stream()
        .filter(u -> expectedLoad(u) > u.concurrencyLimit() && expectedLoad(u) > currentLoad(u))
        .map(
            u ->
                "upstream %s would have %.1f requests in flight, and it bears %d"
                    .formatted(u.id(), expectedLoad(u), u.concurrencyLimit()))
        .collect(toImmutableList());
  }

  /**
   * Returns the availability zones that the change would overload. A zone limit may be lower than
   * the sum of the concurrency limits of the upstreams in the availability zone.
   */
  private ImmutableList<String> overloadedZones() {
    var currentLoads = new TreeMap<String, Double>();
    currentUpstreams()
        .forEach(u -> currentLoads.merge("zone/" + u.zone(), currentLoad(u), Double::sum));
    return zoneLoads().stream()
        .filter(l -> l.expected() > l.limit())
        .filter(l -> l.expected() > currentLoads.getOrDefault(l.subject(), 0.0))
        .map(
            l ->
                "%s would have %.1f requests in flight, and it bears %d"
                    .formatted(l.subject(), l.expected(), l.limit()))
        .collect(toImmutableList());
  }

  private double expectedLoad(UpstreamDefinition upstream) {
    int totalSlots = slotsAfter.values().stream().mapToInt(Integer::intValue).sum();
    if (totalSlots > 0) {
      return demand() * slotsAfter.getOrDefault(upstream.id(), 0) / totalSlots;
    }
    int totalLimit =
        remainingUpstreams().stream().mapToInt(UpstreamDefinition::concurrencyLimit).sum();
    return demand() * upstream.concurrencyLimit() / totalLimit;
  }

  /** Returns the current number of requests in flight of the service in all availability zones. */
  private double demand() {
    return currentUpstreams().stream().mapToDouble(this::currentLoad).sum();
  }

  private double currentLoad(UpstreamDefinition upstream) {
    return inputs.loads().getOrDefault(upstream.id(), 0.0);
  }

  private ImmutableList<UpstreamDefinition> currentUpstreams() {
    ServiceDefinition currentDefinition = inputs.configuration().services().get(service.name());
    return currentDefinition == null ? ImmutableList.of() : upstreams(currentDefinition, u -> true);
  }

  private ImmutableList<UpstreamDefinition> remainingUpstreams() {
    return upstreams(service, result::admits);
  }

  private static ImmutableList<UpstreamDefinition> upstreams(
      ServiceDefinition service, Predicate<UpstreamDefinition> filter) {
    return service.upstreams().stream().filter(filter).collect(toImmutableList());
  }

  private int capacity(ImmutableList<UpstreamDefinition> upstreams) {
    return zoneCapacities(upstreams).values().stream().mapToInt(Integer::intValue).sum();
  }

  private Map<ZoneName, Integer> zoneCapacities(ImmutableList<UpstreamDefinition> upstreams) {
    var capacities = new TreeMap<ZoneName, Integer>();
    upstreams.forEach(u -> capacities.merge(u.zone(), u.concurrencyLimit(), Integer::sum));
    if (service.zoneLimit() > 0) {
      capacities.replaceAll((zone, capacity) -> Math.min(capacity, service.zoneLimit()));
    }
    return capacities;
  }
}
