package org.catkinlift.plans;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.configuration.ConfigurationAge;
import org.catkinlift.control.MembershipView;
import org.catkinlift.control.OwnershipView;
import org.catkinlift.control.VersionStore;
import org.catkinlift.events.DecisionLog;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.DispatcherMap;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.routing.KeyHasher;

/** Answers status and explain requests from the local state of this daemon. */
final class StatusQueries {
  private static final Joiner LIST = Joiner.on(", ");
  private static final String NONE = "none";

  private final VersionStore store;
  private final MembershipView members;
  private final OwnershipView ownership;
  private final ConfigurationAge configurationAge;
  private final DecisionLog decisions;

  StatusQueries(
      VersionStore store,
      MembershipView members,
      OwnershipView ownership,
      ConfigurationAge configurationAge,
      DecisionLog decisions) {
    this.store = store;
    this.members = members;
    this.ownership = ownership;
    this.configurationAge = configurationAge;
    this.decisions = decisions;
  }

  OperatorReply status(long nowNanos) {
    Configuration configuration = store.configuration();
    var facts = ImmutableMap.<String, String>builder();
    facts.put("host", members.self().id().value());
    facts.put("availability zone", members.self().zone().value());
    facts.put("cell", members.self().cell().value());
    facts.put("coordinator", ownership.coordinator().map(HostId::value).orElse(NONE));
    facts.put("authority", Boolean.toString(ownership.hasAuthority(nowNanos)));
    facts.put("live daemons of the cell", list(members.live(members.self().cell(), nowNanos)));
    facts.put("known daemons", Integer.toString(members.known().size()));
    facts.put(OperatorReply.Facts.CONFIGURATION_VERSION, Long.toString(configuration.version()));
    facts.put(
        "configuration age",
        configurationAge.age(nowNanos).map(StatusQueries::seconds).orElse("unknown"));
    facts.put("services", list(configuration.services().keySet()));
    facts.put("drained availability zones", list(configuration.drainedZones()));
    facts.put("lost availability zones", list(configuration.lostZones()));
    facts.put("retiring upstreams", list(configuration.retiringUpstreams()));
    facts.put("retiring hosts", list(configuration.retiringHosts()));
    facts.put("held dispatch leases", Integer.toString(ownership.heldLeases(nowNanos).size()));
    return new OperatorReply.Facts(facts.buildOrThrow(), ImmutableList.of());
  }

  private static String seconds(Duration duration) {
    return "%.1f s".formatted(duration.toMillis() / 1000.0);
  }

  private static String list(Iterable<?> elements) {
    String text = LIST.join(elements);
    return text.isEmpty() ? NONE : text;
  }

  OperatorReply explain(ServiceName service, String key, long nowNanos) {
    ServiceDefinition definition = store.configuration().services().get(service);
    if (definition == null) {
      return new OperatorReply.Failed(
          OperatorReply.Reason.NOT_FOUND, "service " + service + " does not exist");
    }
    return switch (definition.kind()) {
      case ServiceKind.Shared s ->
          new OperatorReply.Facts(
              ImmutableMap.of(
                  "service", service.value(), "owner", "any upstream; keys have no owner"),
              ImmutableList.of());
      case ServiceKind.Keyed k ->
          explain(service, key, KeyHasher.slotOf(key, k.slotCount()), nowNanos);
    };
  }

  private OperatorReply explain(ServiceName service, String key, int slot, long nowNanos) {
    Optional<Assignment> assignment =
        store.assignments(service).stream()
            .filter(a -> a.overrides().containsKey(key) || a.slots().containsKey(slot))
            .max((a, b) -> owner(a, key, slot).epoch().compareTo(owner(b, key, slot).epoch()));
    SlotOwner owner = assignment.map(a -> owner(a, key, slot)).orElse(SlotOwner.NONE);
    var facts = ImmutableMap.<String, String>builder();
    facts.put("service", service.value());
    facts.put("slot", Integer.toString(slot));
    String homeCell = homeCell(service, slot);
    facts.put("home cell", homeCell);
    facts.put("owner", owner.owner().map(UpstreamId::value).orElse(NONE));
    facts.put("epoch", owner.epoch().toString());
    facts.put("placed apart from its slot", Boolean.toString(hasOverride(assignment, key)));
    facts.put("assignment version", assignment.map(a -> a.version().toString()).orElse(NONE));
    facts.put("dispatcher", owner.owner().flatMap(this::dispatcher).orElse(NONE));
    var keyDecisions = new KeyDecisions(service, key, slot, homeCell, owner.owner());
    return new OperatorReply.Facts(
        facts.buildOrThrow(), keyDecisions.describe(decisions, nowNanos));
  }

  private static SlotOwner owner(Assignment assignment, String key, int slot) {
    SlotOwner override = assignment.overrides().get(key);
    return override != null ? override : assignment.slots().getOrDefault(slot, SlotOwner.NONE);
  }

  private static boolean hasOverride(Optional<Assignment> assignment, String key) {
    return assignment.map(a -> a.overrides().containsKey(key)).orElse(false);
  }

  private String homeCell(ServiceName service, int slot) {
    return store
        .homeMap(service)
        .filter(h -> slot < h.homes().size())
        .map(h -> h.homes().get(slot).value())
        .orElse(NONE);
  }

  private Optional<String> dispatcher(UpstreamId upstream) {
    return store.dispatcherMaps().stream()
        .map(DispatcherMap::dispatchers)
        .map(d -> d.get(upstream))
        .filter(h -> h != null)
        .map(HostId::value)
        .findFirst();
  }
}
