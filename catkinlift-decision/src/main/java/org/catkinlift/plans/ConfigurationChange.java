package org.catkinlift.plans;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Map;
import java.util.stream.Stream;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/**
 * The outcome of applying an intent to a configuration.
 *
 * @param result the changed configuration, one version later; the current one if there are refusals
 * @param refusals why the intent cannot be applied; empty if it can
 */
record ConfigurationChange(Configuration result, ImmutableList<String> refusals) {

  /** Applies an intent to a configuration. */
  static ConfigurationChange of(
      Intent intent, Configuration current, ImmutableSet<HostDefinition> hosts) {
    return switch (intent) {
      case Intent.PutService i -> putService(i.definition(), current, hosts);
      case Intent.RemoveService i -> removeService(i.service(), current);
      case Intent.DrainZone i -> drainZone(i.zone(), current, hosts);
      case Intent.ReturnZone i -> returnZone(i.zone(), current, hosts);
      case Intent.DeclareZoneLost i -> declareZoneLost(i, current, hosts);
      case Intent.RetireUpstream i -> retireUpstream(i.upstream(), current);
      case Intent.RetireHost i -> retireHost(i.host(), current, hosts);
    };
  }

  private static ConfigurationChange putService(
      ServiceDefinition definition, Configuration current, ImmutableSet<HostDefinition> hosts) {
    ImmutableList<String> problems = ServiceValidator.problems(definition, current, hosts);
    if (!problems.isEmpty()) {
      return new ConfigurationChange(current, problems);
    }
    var services =
        ImmutableMap.<ServiceName, ServiceDefinition>builder()
            .putAll(current.services())
            .put(definition.name(), definition)
            .buildKeepingLast();
    return changed(current, withServices(current, services));
  }

  private static ConfigurationChange removeService(ServiceName service, Configuration current) {
    if (!current.services().containsKey(service)) {
      return refused(current, "service " + service + " does not exist");
    }
    ImmutableMap<ServiceName, ServiceDefinition> services =
        current.services().entrySet().stream()
            .filter(e -> !e.getKey().equals(service))
            .collect(toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
    return changed(current, withServices(current, services));
  }

  /** Replaces the services and removes retiring upstreams that no longer belong to any service. */
  private static Configuration.Builder withServices(
      Configuration current, ImmutableMap<ServiceName, ServiceDefinition> services) {
    ImmutableSet<UpstreamId> upstreams =
        services.values().stream()
            .flatMap(s -> s.upstreams().stream())
            .map(UpstreamDefinition::id)
            .collect(toImmutableSet());
    return current.toBuilder()
        .services(services)
        .retiringUpstreams(
            Sets.intersection(current.retiringUpstreams(), upstreams).immutableCopy());
  }

  private static ConfigurationChange drainZone(
      ZoneName zone, Configuration current, ImmutableSet<HostDefinition> hosts) {
    if (!isKnown(zone, current, hosts)) {
      return unknownZone(current, zone);
    }
    if (current.drainedZones().contains(zone) || current.lostZones().contains(zone)) {
      return refused(current, "availability zone " + zone + " is already out");
    }
    return changed(current, current.toBuilder().drainedZones(plus(current.drainedZones(), zone)));
  }

  private static ConfigurationChange returnZone(
      ZoneName zone, Configuration current, ImmutableSet<HostDefinition> hosts) {
    if (current.drainedZones().contains(zone) || current.lostZones().contains(zone)) {
      return changed(
          current,
          current.toBuilder()
              .drainedZones(minus(current.drainedZones(), zone))
              .lostZones(minus(current.lostZones(), zone)));
    }
    return isKnown(zone, current, hosts)
        ? refused(current, "availability zone " + zone + " is not out")
        : unknownZone(current, zone);
  }

  private static ConfigurationChange declareZoneLost(
      Intent.DeclareZoneLost intent, Configuration current, ImmutableSet<HostDefinition> hosts) {
    ZoneName zone = intent.zone();
    if (!isKnown(zone, current, hosts)) {
      return unknownZone(current, zone);
    }
    if (current.lostZones().contains(zone)) {
      return refused(current, "availability zone " + zone + " is already declared lost");
    }
    ImmutableList<String> unboundedServices =
        intent.hostsAreOff() ? ImmutableList.of() : servicesWithoutIsolationLimit(zone, current);
    if (!unboundedServices.isEmpty()) {
      return new ConfigurationChange(current, unboundedServices);
    }
    return changed(current, current.toBuilder().lostZones(plus(current.lostZones(), zone)));
  }

  /**
   * Returns a refusal for each service that an isolated availability zone would keep serving
   * indefinitely. Taking over slots of such a service while it still runs would give them two
   * owners.
   */
  private static ImmutableList<String> servicesWithoutIsolationLimit(
      ZoneName zone, Configuration current) {
    return current.services().values().stream()
        .filter(s -> s.zones().contains(zone))
        .filter(s -> s.kind() instanceof ServiceKind.Keyed k && servesIndefinitely(k.cutOffRule()))
        .map(
            s ->
                "service "
                    + s.name()
                    + " has no isolation limit, so availability zone "
                    + zone
                    + " may still serve it; state that its hosts are switched off")
        .collect(toImmutableList());
  }

  private static boolean servesIndefinitely(CutOffRule rule) {
    return switch (rule) {
      case CutOffRule.Lapse l -> false;
      case CutOffRule.Hold h -> h.isolationLimit().isEmpty();
    };
  }

  private static ConfigurationChange retireUpstream(UpstreamId upstream, Configuration current) {
    boolean exists =
        current.services().values().stream()
            .flatMap(s -> s.upstreams().stream())
            .anyMatch(u -> u.id().equals(upstream));
    if (!exists) {
      return refused(current, "upstream " + upstream + " does not exist");
    }
    if (current.retiringUpstreams().contains(upstream)) {
      return refused(current, "upstream " + upstream + " is already retiring");
    }
    return changed(
        current,
        current.toBuilder().retiringUpstreams(plus(current.retiringUpstreams(), upstream)));
  }

  private static ConfigurationChange retireHost(
      HostId host, Configuration current, ImmutableSet<HostDefinition> hosts) {
    if (current.retiringHosts().contains(host)) {
      return refused(current, "host " + host + " is already retiring");
    }
    return hosts.stream()
        .filter(h -> h.id().equals(host))
        .findFirst()
        .map(h -> retireKnownHost(h, current, hosts))
        .orElseGet(() -> refused(current, "host " + host + " is not known"));
  }

  private static ConfigurationChange retireKnownHost(
      HostDefinition host, Configuration current, ImmutableSet<HostDefinition> hosts) {
    boolean isLast =
        hosts.stream()
            .filter(h -> h.cell().equals(host.cell()) && !h.id().equals(host.id()))
            .allMatch(h -> current.retiringHosts().contains(h.id()));
    boolean hasUpstreams =
        current.services().values().stream()
            .flatMap(s -> s.upstreamsOf(host.cell()).stream())
            .anyMatch(current::admits);
    if (isLast && hasUpstreams) {
      return refused(
          current, "host " + host.id() + " is the last of cell " + host.cell() + " with upstreams");
    }
    return changed(
        current, current.toBuilder().retiringHosts(plus(current.retiringHosts(), host.id())));
  }

  private static boolean isKnown(
      ZoneName zone, Configuration current, ImmutableSet<HostDefinition> hosts) {
    return Stream.concat(
            current.services().values().stream().flatMap(s -> s.zones().stream()),
            hosts.stream().map(HostDefinition::zone))
        .anyMatch(zone::equals);
  }

  private static ConfigurationChange unknownZone(Configuration current, ZoneName zone) {
    return refused(current, "availability zone " + zone + " has neither a host nor a service");
  }

  private static ConfigurationChange changed(Configuration current, Configuration.Builder result) {
    return new ConfigurationChange(
        result.version(current.version() + 1).build(), ImmutableList.of());
  }

  private static ConfigurationChange refused(Configuration current, String reason) {
    return new ConfigurationChange(current, ImmutableList.of(reason));
  }

  private static <T> ImmutableSet<T> plus(ImmutableSet<T> set, T element) {
    return ImmutableSet.<T>builder().addAll(set).add(element).build();
  }

  private static <T> ImmutableSet<T> minus(ImmutableSet<T> set, T element) {
    return set.stream().filter(e -> !e.equals(element)).collect(toImmutableSet());
  }
}
