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

/** Predicts what the upstreams and availability zones of one service bear after a change. */
final class CapacityPrediction {
  private final ServiceDefinition service;
  private final Configuration result;
  private final PlanBasis basis;
  private final ImmutableMap<UpstreamId, Integer> slotsAfter;

  CapacityPrediction(
      ServiceDefinition service,
      Configuration result,
      PlanBasis basis,
      ImmutableMap<UpstreamId, Integer> slotsAfter) {
    this.service = service;
    this.result = result;
    this.basis = basis;
    this.slotsAfter = slotsAfter;
  }

  /** Returns the expected load of each upstream that stays. */
  ImmutableList<Plan.Load> upstreamLoads() {
    return staying().stream()
        .map(u -> new Plan.Load("upstream/" + u.id(), expected(u), u.concurrencyLimit()))
        .collect(toImmutableList());
  }

  /** Returns the expected load of this service by availability zone, ordered by name. */
  ImmutableList<Plan.Load> zoneLoads() {
    var loads = new TreeMap<String, Double>();
    var limits = new TreeMap<ZoneName, Integer>(limits(staying()));
    staying().forEach(u -> loads.merge(u.zone().value(), expected(u), Double::sum));
    return limits.entrySet().stream()
        .map(e -> zoneLoad(e.getKey(), loads.get(e.getKey().value()), e.getValue()))
        .collect(toImmutableList());
  }

  private static Plan.Load zoneLoad(ZoneName zone, double expected, int limit) {
    return new Plan.Load("zone/" + zone, expected, limit);
  }

  /** Returns why the service cannot do with what is left; empty if it can. */
  ImmutableList<String> refusals() {
    if (staying().isEmpty()) {
      return refusalIfNoneIsLeft();
    }
    int capacity = capacity(staying());
    if (need() > capacity && capacity < capacity(present())) {
      return ImmutableList.of(
          "service %s needs %.1f requests in flight, and the remaining upstreams bear %d"
              .formatted(service.name(), need(), capacity));
    }
    ImmutableList<String> upstreams = overloadedUpstreams();
    return upstreams.isEmpty() ? overloadedZones() : upstreams;
  }

  /** Returns a refusal if the last availability zone of the service would go out. */
  ImmutableList<String> refusalIfNoneIsLeft() {
    return staying().isEmpty()
        ? ImmutableList.of(
            "service " + service.name() + " would have no upstream left in any availability zone")
        : ImmutableList.of();
  }

  private ImmutableList<String> overloadedUpstreams() {
    return staying().stream()
        .filter(u -> expected(u) > u.concurrencyLimit() && expected(u) > load(u))
        .map(
            u ->
                "upstream %s would have %.1f requests in flight, and it bears %d"
                    .formatted(u.id(), expected(u), u.concurrencyLimit()))
        .collect(toImmutableList());
  }

  /** A zone limit may be lower than what the upstreams of the availability zone bear together. */
  private ImmutableList<String> overloadedZones() {
    var present = new TreeMap<String, Double>();
    present().forEach(u -> present.merge("zone/" + u.zone(), load(u), Double::sum));
    return zoneLoads().stream()
        .filter(l -> l.expected() > l.limit())
        .filter(l -> l.expected() > present.getOrDefault(l.subject(), 0.0))
        .map(
            l ->
                "%s would have %.1f requests in flight, and it bears %d"
                    .formatted(l.subject(), l.expected(), l.limit()))
        .collect(toImmutableList());
  }

  private double expected(UpstreamDefinition upstream) {
    int slots = slotsAfter.values().stream().mapToInt(Integer::intValue).sum();
    if (slots > 0) {
      return need() * slotsAfter.getOrDefault(upstream.id(), 0) / slots;
    }
    int limits = staying().stream().mapToInt(UpstreamDefinition::concurrencyLimit).sum();
    return need() * upstream.concurrencyLimit() / limits;
  }

  /** The requests in flight of the service now, wherever they are. */
  private double need() {
    return present().stream().mapToDouble(this::load).sum();
  }

  private double load(UpstreamDefinition upstream) {
    return basis.loads().getOrDefault(upstream.id(), 0.0);
  }

  private ImmutableList<UpstreamDefinition> present() {
    ServiceDefinition before = basis.configuration().services().get(service.name());
    return before == null ? ImmutableList.of() : upstreams(before, u -> true);
  }

  private ImmutableList<UpstreamDefinition> staying() {
    return upstreams(service, result::admits);
  }

  private static ImmutableList<UpstreamDefinition> upstreams(
      ServiceDefinition service, Predicate<UpstreamDefinition> filter) {
    return service.upstreams().stream().filter(filter).collect(toImmutableList());
  }

  private int capacity(ImmutableList<UpstreamDefinition> upstreams) {
    return limits(upstreams).values().stream().mapToInt(Integer::intValue).sum();
  }

  private Map<ZoneName, Integer> limits(ImmutableList<UpstreamDefinition> upstreams) {
    var limits = new TreeMap<ZoneName, Integer>();
    upstreams.forEach(u -> limits.merge(u.zone(), u.concurrencyLimit(), Integer::sum));
    if (service.zoneLimit() > 0) {
      limits.replaceAll((zone, limit) -> Math.min(limit, service.zoneLimit()));
    }
    return limits;
  }
}
