package org.catkinlift.bench.ownership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.SlotOwner;
import org.catkinlift.model.UpstreamId;

/** Checks the ownership invariants at every event, from the records of the fakes alone. */
final class OwnershipChecks {
  private final OwnershipWorld world;
  private final Map<Integer, FakeUpstream> lastGranted = new HashMap<>();
  private final Map<String, Row> rows = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final List<DecisionEvent> log = new ArrayList<>();

  OwnershipChecks(OwnershipWorld world) {
    this.world = world;
  }

  ImmutableList<String> violations() {
    return ImmutableList.copyOf(violations);
  }

  ImmutableList<DecisionEvent> log() {
    return ImmutableList.copyOf(log);
  }

  void logged(HostId host, DecisionEvent event) {
    log.add(event);
  }

  /** An upstream that takes a slot must not find another one that still owns it. */
  void granted(FakeUpstream upstream, Set<Integer> slots) {
    if (!world.checksGrants()) {
      return;
    }
    for (int slot : slots) {
      if (!upstream.owns(slot)) {
        continue; // expired on arrival by the upstream's own clock, which never goes back
      }
      FakeUpstream last = lastGranted.put(slot, upstream);
      if (last != null && last != upstream && last.owns(slot)) {
        violate("slot " + slot + " owned by " + name(last) + " and " + name(upstream));
      }
    }
  }

  private static UpstreamId name(FakeUpstream upstream) {
    return upstream.definition().id();
  }

  /** At most one daemon of a cell has authority, and one may dispatch to each upstream. */
  void handled(FakeHost host) {
    boolean authority = host.hasAuthority();
    if (!authority && world.checksGrants()) {
      return;
    }
    for (FakeHost other : world.hosts()) {
      boolean same = other == host || !other.self().cell().equals(host.self().cell());
      if (same) {
        continue;
      }
      if (authority && other.hasAuthority()) {
        violate("authority of " + host.id() + " and " + other.id());
      }
      if (!world.checksGrants()) {
        checkDispatchers(host, other);
      }
    }
  }

  private void checkDispatchers(FakeHost host, FakeHost other) {
    ImmutableSet<UpstreamId> leases = upstreams(host);
    ImmutableSet<UpstreamId> otherLeases = upstreams(other);
    for (UpstreamId upstream : Sets.intersection(leases, otherLeases)) {
      violate(upstream + " dispatched by " + host.id() + " and " + other.id());
    }
    ImmutableMap<Integer, SlotOwner> foreign = world.slotOwners(other);
    world
        .slotOwners(host)
        .forEach(
            (slot, owner) -> {
              Optional<UpstreamId> a = owner.owner().filter(leases::contains);
              Optional<UpstreamId> b =
                  foreign.getOrDefault(slot, SlotOwner.NONE).owner().filter(otherLeases::contains);
              if (a.isPresent() && b.isPresent() && !a.equals(b)) {
                violate("slot " + slot + " sent to " + a.get() + " and " + b.get());
              }
            });
  }

  private static ImmutableSet<UpstreamId> upstreams(FakeHost host) {
    return host.leases().stream().map(l -> l.upstream()).collect(toImmutableSet());
  }

  /** Versions, terms and the epochs of slots never go back in the platform's table. */
  void written(Row row) {
    Row before = rows.put(row.name(), row);
    if (before == null) {
      return;
    }
    if (row.version() <= before.version()) {
      violate(row.name() + " went back to version " + row.version());
    }
    if (!before.value().getClass().equals(row.value().getClass())) {
      violate(row.name() + " changed its kind");
      return;
    }
    switch (row.value()) {
      case RowValue.AssignmentRow after ->
          checkAssignments(
              ((RowValue.AssignmentRow) before.value()).assignment(), after.assignment());
      case RowValue.CellRow after -> checkTerm(row, (RowValue.CellRow) before.value(), after);
      case RowValue.HomeRow after -> checkHomes(row, (RowValue.HomeRow) before.value(), after);
      case RowValue.ConfigurationRow after -> {}
      case RowValue.PlanRow after -> {}
    }
  }

  private void checkTerm(Row row, RowValue.CellRow before, RowValue.CellRow after) {
    if (after.term() < before.term()) {
      violate(row.name() + " went back to term " + after.term());
    }
  }

  private void checkHomes(Row row, RowValue.HomeRow before, RowValue.HomeRow after) {
    if (after.homes().version() <= before.homes().version()) {
      violate(row.name() + " went back to home map " + after.homes().version());
    }
  }

  private void checkAssignments(Assignment before, Assignment after) {
    if (!after.version().isAfter(before.version())) {
      violate(after.name() + " went back to " + after.version());
    }
    after
        .slots()
        .forEach(
            (slot, owner) -> {
              Epoch acknowledged = before.slots().getOrDefault(slot, SlotOwner.NONE).epoch();
              if (acknowledged.isAfter(owner.epoch())) {
                violate("acknowledged owner of slot " + slot + " vanished from " + after.name());
              }
            });
  }

  private void violate(String what) {
    violations.add("at " + world.nowNanos() / 1_000_000 + " ms: " + what);
  }
}
