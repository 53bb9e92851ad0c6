package org.catkinlift.plans;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;

/** Computes the plan for an intent. The result depends on the intent and the inputs only. */
public final class PlanBuilder {
  /** The maximum time until a committed configuration is in effect on all daemons. */
  private static final Duration PROPAGATION_BOUND = Duration.ofSeconds(7);

  /** The time for one owner to release slots and the next one to be granted them. */
  private static final Duration HANDOVER_DURATION = Duration.ofSeconds(1);

  /**
   * The interval at which a batch of slots returns to an upstream. Limiting the rate keeps a
   * returning upstream from being overloaded.
   */
  private static final Duration RETURN_INTERVAL = Duration.ofSeconds(30);

  /** The fraction of the slots of a service in one batch. */
  private static final double RETURN_FRACTION = 0.02;

  private final Intent intent;
  private final PlanInputs inputs;

  private PlanBuilder(Intent intent, PlanInputs inputs) {
    this.intent = intent;
    this.inputs = inputs;
  }

  /**
   * Computes the plan for an intent.
   *
   * @param intent the requested change
   * @param inputs the state that the plan is computed from
   * @return the plan, with refusals if it cannot be confirmed
   */
  public static Plan plan(Intent intent, PlanInputs inputs) {
    return new PlanBuilder(intent, inputs).build();
  }

  /** Returns the keyed services whose current assignments the plan depends on. */
  static ImmutableList<ServiceName> affectedServices(Intent intent, PlanInputs inputs) {
    ConfigurationChange change =
        ConfigurationChange.of(intent, inputs.configuration(), inputs.hosts());
    return new PlanBuilder(intent, inputs)
        .affected(change.result()).stream()
            .filter(s -> s.kind() instanceof ServiceKind.Keyed)
            .map(ServiceDefinition::name)
            .collect(toImmutableList());
  }

  private Plan build() {
    ConfigurationChange change =
        ConfigurationChange.of(intent, inputs.configuration(), inputs.hosts());
    Configuration result = change.result();
    ImmutableList<ServiceDefinition> services = affected(result);
    var moves = ImmutableList.<Plan.Move>builder();
    var loads = ImmutableList.<Plan.Load>builder();
    var refusals = ImmutableList.<String>builder().addAll(change.refusals());
    for (ServiceDefinition service : services) {
      var prediction = MovePrediction.of(service, result, inputs.assignments(service.name()));
      moves.addAll(prediction.moves());
      if (result.services().containsKey(service.name())) {
        var capacity = new CapacityPrediction(service, result, inputs, prediction.slotsAfter());
        loads.addAll(capacity.upstreamLoads()).addAll(capacity.zoneLoads());
        refusals.addAll(refusals(capacity));
      }
    }
    ImmutableMap<String, Epoch> versions = assignmentVersions(services);
    ImmutableList<String> allRefusals = refusals.build();
    return new Plan(
        PlanIds.of(intent, inputs.configuration().version(), versions, allRefusals),
        intent,
        inputs.configuration().version(),
        versions,
        result,
        moves.build(),
        loads.build(),
        duration(services, moves.build()),
        allRefusals);
  }

  /** Returns the services whose definition or set of admitted upstreams changes. */
  private ImmutableList<ServiceDefinition> affected(Configuration result) {
    Configuration current = inputs.configuration();
    return Sets.union(current.services().keySet(), result.services().keySet()).stream()
        .filter(s -> !serviceState(current, s).equals(serviceState(result, s)))
        .map(s -> result.services().getOrDefault(s, current.services().get(s)))
        .collect(toImmutableList());
  }

  private record ServiceState(
      ServiceDefinition definition, ImmutableList<UpstreamDefinition> admitted) {}

  private static Optional<ServiceState> serviceState(
      Configuration configuration, ServiceName service) {
    return Optional.ofNullable(configuration.services().get(service))
        .map(s -> new ServiceState(s, admitted(configuration, s)));
  }

  private static ImmutableList<UpstreamDefinition> admitted(
      Configuration configuration, ServiceDefinition service) {
    return service.upstreams().stream().filter(configuration::admits).collect(toImmutableList());
  }

  /**
   * Returns the capacity refusals that apply to the intent. A lost availability zone is out of
   * service whether or not the others have enough capacity, so declaring it lost is refused only if
   * no upstream would remain.
   */
  private ImmutableList<String> refusals(CapacityPrediction capacity) {
    return switch (intent) {
      case Intent.DeclareZoneLost i -> capacity.refusalIfNoUpstreamRemains();
      case Intent.PutService i -> capacity.refusals();
      case Intent.RemoveService i -> capacity.refusals();
      case Intent.DrainZone i -> capacity.refusals();
      case Intent.ReturnZone i -> ImmutableList.of();
      case Intent.RetireUpstream i -> capacity.refusals();
      case Intent.RetireHost i -> capacity.refusals();
    };
  }

  private ImmutableMap<String, Epoch> assignmentVersions(
      ImmutableList<ServiceDefinition> services) {
    return services.stream()
        .flatMap(s -> inputs.assignments(s.name()).stream())
        .collect(toImmutableMap(a -> a.service() + "/" + a.cell(), Assignment::version));
  }

  private Duration duration(
      ImmutableList<ServiceDefinition> services, ImmutableList<Plan.Move> moves) {
    Duration longestMove = Duration.ZERO;
    for (ServiceDefinition service : services) {
      Duration serviceMove = moveDuration(service, moves);
      longestMove = serviceMove.compareTo(longestMove) > 0 ? serviceMove : longestMove;
    }
    return PROPAGATION_BOUND.plus(isolationLimit(services)).plus(longestMove);
  }

  private Duration moveDuration(ServiceDefinition service, ImmutableList<Plan.Move> moves) {
    int slots =
        moves.stream()
            .filter(m -> m.service().equals(service.name()))
            .mapToInt(Plan.Move::slots)
            .sum();
    if (slots == 0) {
      return Duration.ZERO;
    }
    boolean isReturn =
        intent instanceof Intent.ReturnZone && service.kind() instanceof ServiceKind.Keyed;
    return isReturn ? returnDuration(slots, (ServiceKind.Keyed) service.kind()) : HANDOVER_DURATION;
  }

  private static Duration returnDuration(int slots, ServiceKind.Keyed kind) {
    double slotsPerInterval = Math.max(1, RETURN_FRACTION * kind.slotCount());
    return RETURN_INTERVAL.multipliedBy((long) Math.ceil(slots / slotsPerInterval));
  }

  /** Returns the longest isolation limit, until which hosts that are not switched off may serve. */
  private Duration isolationLimit(ImmutableList<ServiceDefinition> services) {
    if (!(intent instanceof Intent.DeclareZoneLost lost) || lost.hostsAreOff()) {
      return Duration.ZERO;
    }
    return services.stream()
        .map(ServiceDefinition::kind)
        .map(PlanBuilder::isolationLimit)
        .max(Duration::compareTo)
        .orElse(Duration.ZERO);
  }

  private static Duration isolationLimit(ServiceKind kind) {
    return kind instanceof ServiceKind.Keyed k && k.cutOffRule() instanceof CutOffRule.Hold h
        ? h.isolationLimit().orElse(Duration.ZERO)
        : Duration.ZERO;
  }
}
