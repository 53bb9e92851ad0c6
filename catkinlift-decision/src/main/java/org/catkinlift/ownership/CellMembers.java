package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/** Knows which daemons of the cell may get duties. */
final class CellMembers {
  private final CellContext context;
  private final Set<HostId> leaving = new HashSet<>();

  CellMembers(CellContext context) {
    this.context = context;
  }

  /** Notes that a daemon stops by plan. */
  void onLeaving(HostId host) {
    leaving.add(host);
  }

  /** A daemon that introduces itself is not about to leave any more. */
  void onHello(HostId host) {
    leaving.remove(host);
  }

  /** Tells whether a daemon gives up its duties. */
  boolean isLeaving(HostId host) {
    return leaving.contains(host) || isRetiring(host);
  }

  /** Tells whether operators take the host out. */
  boolean isRetiring(HostId host) {
    return context.store().configuration().retiringHosts().contains(host);
  }

  /** All known daemons of the cell, this one included. */
  ImmutableSet<HostId> all() {
    return context.members().known().stream()
        .filter(h -> h.cell().equals(context.cell()))
        .map(HostDefinition::id)
        .collect(toImmutableSet());
  }

  /** The live daemons of the cell that may get duties. */
  ImmutableSet<HostId> eligible(long nowNanos) {
    return context.members().live(context.cell(), nowNanos).stream()
        .filter(h -> !isLeaving(h))
        .collect(toImmutableSet());
  }
}
