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
 * The configuration that an intent leads to.
 *
 * @param result the configuration, one version later; the present one if there are refusals
 * @param refusals why the intent cannot be carried out; empty if it can
 */
record ConfigurationChange(Configuration result, ImmutableList<String> refusals) {

  /** Applies an intent to a configuration. */
  static ConfigurationChange of(
      Intent intent, Configuration present, ImmutableSet<HostDefinition> hosts) {
    return switch (intent) {
      case Intent.PutService i -> putService(i.definition(), present, hosts);
      case Intent.RemoveService i -> removeService(i.service(), present);
      case Intent.DrainZone i -> drainZone(i.zone(), present, hosts);
      case Intent.ReturnZone i -> returnZone(i.zone(), present, hosts);
      case Intent.DeclareZoneLost i -> declareZoneLost(i, present, hosts);
      case Intent.RetireUpstream i -> retireUpstream(i.upstream(), present);
      case Intent.RetireHost i -> retireHost(i.host(), present, hosts);
    };
  }

  private static ConfigurationChange putService(
      ServiceDefinition definition, Configuration present, ImmutableSet<HostDefinition> hosts) {
    ImmutableList<String> problems = ServiceCheck.problems(definition, present, hosts);
    if (!problems.isEmpty()) {
      return new ConfigurationChange(present, problems);
    }
    var services =
        ImmutableMap.<ServiceName, ServiceDefinition>builder()
            .putAll(present.services())
            .put(definition.name(), definition)
            .buildKeepingLast();
    return changed(present, withServices(present, services));
  }

  private static ConfigurationChange removeService(ServiceName service, Configuration present) {
    if (!present.services().containsKey(service)) {
      return refused(present, "service " + service + " does not exist");
    }
    ImmutableMap<ServiceName, ServiceDefinition> services =
        present.services().entrySet().stream()
            .filter(e -> !e.getKey().equals(service))
            .collect(toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
    return changed(present, withServices(present, services));
  }

  /** Replaces the services and drops retired upstreams that no service has any more. */
  private static Configuration.Builder withServices(
      Configuration present, ImmutableMap<ServiceName, ServiceDefinition> services) {
    ImmutableSet<UpstreamId> upstreams =
        services.values().stream()
            .flatMap(s -> s.upstreams().stream())
            .map(UpstreamDefinition::id)
            .collect(toImmutableSet());
    return present.toBuilder()
        .services(services)
        .retiringUpstreams(
            Sets.intersection(present.retiringUpstreams(), upstreams).immutableCopy());
  }

  private static ConfigurationChange drainZone(
      ZoneName zone, Configuration present, ImmutableSet<HostDefinition> hosts) {
    if (!isKnown(zone, present, hosts)) {
      return unknownZone(present, zone);
    }
    if (present.drainedZones().contains(zone) || present.lostZones().contains(zone)) {
      return refused(present, "availability zone " + zone + " is already out");
    }
    return changed(present, present.toBuilder().drainedZones(plus(present.drainedZones(), zone)));
  }

  private static ConfigurationChange returnZone(
      ZoneName zone, Configuration present, ImmutableSet<HostDefinition> hosts) {
    if (present.drainedZones().contains(zone) || present.lostZones().contains(zone)) {
      return changed(
          present,
          present.toBuilder()
              .drainedZones(minus(present.drainedZones(), zone))
              .lostZones(minus(present.lostZones(), zone)));
    }
    return isKnown(zone, present, hosts)
        ? refused(present, "availability zone " + zone + " is not out")
        : unknownZone(present, zone);
  }

  private static ConfigurationChange declareZoneLost(
      Intent.DeclareZoneLost intent, Configuration present, ImmutableSet<HostDefinition> hosts) {
    ZoneName zone = intent.zone();
    if (!isKnown(zone, present, hosts)) {
      return unknownZone(present, zone);
    }
    if (present.lostZones().contains(zone)) {
      return refused(present, "availability zone " + zone + " is already declared lost");
    }
    ImmutableList<String> endless =
        intent.hostsAreOff() ? ImmutableList.of() : servicesWithoutEnd(zone, present);
    if (!endless.isEmpty()) {
      return new ConfigurationChange(present, endless);
    }
    return changed(present, present.toBuilder().lostZones(plus(present.lostZones(), zone)));
  }

  /**
   * Names the services that a cut-off availability zone would go on to serve without an end; taking
   * over their slots while it runs would give them two owners.
   */
  private static ImmutableList<String> servicesWithoutEnd(ZoneName zone, Configuration present) {
    return present.services().values().stream()
        .filter(s -> s.zones().contains(zone))
        .filter(s -> s.kind() instanceof ServiceKind.Keyed k && goesOn(k.cutOffRule()))
        .map(
            s ->
                "service "
                    + s.name()
                    + " has no isolation limit, so availability zone "
                    + zone
                    + " may still serve it; state that its hosts are switched off")
        .collect(toImmutableList());
  }

  private static boolean goesOn(CutOffRule rule) {
    return switch (rule) {
      case CutOffRule.Lapse l -> false;
      case CutOffRule.Hold h -> h.isolationLimit().isEmpty();
    };
  }

  private static ConfigurationChange retireUpstream(UpstreamId upstream, Configuration present) {
    boolean exists =
        present.services().values().stream()
            .flatMap(s -> s.upstreams().stream())
            .anyMatch(u -> u.id().equals(upstream));
    if (!exists) {
      return refused(present, "upstream " + upstream + " does not exist");
    }
    if (present.retiringUpstreams().contains(upstream)) {
      return refused(present, "upstream " + upstream + " is already retiring");
    }
    return changed(
        present,
        present.toBuilder().retiringUpstreams(plus(present.retiringUpstreams(), upstream)));
  }

  private static ConfigurationChange retireHost(
      HostId host, Configuration present, ImmutableSet<HostDefinition> hosts) {
    if (present.retiringHosts().contains(host)) {
      return refused(present, "host " + host + " is already retiring");
    }
    return hosts.stream()
        .filter(h -> h.id().equals(host))
        .findFirst()
        .map(h -> retireKnownHost(h, present, hosts))
        .orElseGet(() -> refused(present, "host " + host + " is not known"));
  }

  private static ConfigurationChange retireKnownHost(
      HostDefinition host, Configuration present, ImmutableSet<HostDefinition> hosts) {
    boolean isLast =
        hosts.stream()
            .filter(h -> h.cell().equals(host.cell()) && !h.id().equals(host.id()))
            .allMatch(h -> present.retiringHosts().contains(h.id()));
    boolean hasUpstreams =
        present.services().values().stream()
            .flatMap(s -> s.upstreamsOf(host.cell()).stream())
            .anyMatch(present::admits);
    if (isLast && hasUpstreams) {
      return refused(
          present, "host " + host.id() + " is the last of cell " + host.cell() + " with upstreams");
    }
    return changed(
        present, present.toBuilder().retiringHosts(plus(present.retiringHosts(), host.id())));
  }

  private static boolean isKnown(
      ZoneName zone, Configuration present, ImmutableSet<HostDefinition> hosts) {
    return Stream.concat(
            present.services().values().stream().flatMap(s -> s.zones().stream()),
            hosts.stream().map(HostDefinition::zone))
        .anyMatch(zone::equals);
  }

  private static ConfigurationChange unknownZone(Configuration present, ZoneName zone) {
    return refused(present, "availability zone " + zone + " has neither a host nor a service");
  }

  private static ConfigurationChange changed(Configuration present, Configuration.Builder result) {
    return new ConfigurationChange(
        result.version(present.version() + 1).build(), ImmutableList.of());
  }

  private static ConfigurationChange refused(Configuration present, String reason) {
    return new ConfigurationChange(present, ImmutableList.of(reason));
  }

  private static <T> ImmutableSet<T> plus(ImmutableSet<T> set, T element) {
    return ImmutableSet.<T>builder().addAll(set).add(element).build();
  }

  private static <T> ImmutableSet<T> minus(ImmutableSet<T> set, T element) {
    return set.stream().filter(e -> !e.equals(element)).collect(toImmutableSet());
  }
}
