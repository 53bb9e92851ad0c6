package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/** Determines which daemons of the cell may be assigned work. */
final class CellMembers {
  private final CellContext context;
  private final Set<HostId> leaving = new HashSet<>();

  CellMembers(CellContext context) {
    this.context = context;
  }

  /** Records that a daemon is shutting down. */
  void onLeaving(HostId host) {
    leaving.add(host);
  }

  /** Records that a daemon has started again and is no longer leaving. */
  void onHello(HostId host) {
    leaving.remove(host);
  }

  /** Returns whether a daemon is handing over its work. */
  boolean isLeaving(HostId host) {
    return leaving.contains(host) || isRetiring(host);
  }

  /** Returns whether the configuration retires the host. */
  boolean isRetiring(HostId host) {
    return context.store().configuration().retiringHosts().contains(host);
  }

  /** Returns all known daemons of the cell, including this one. */
  ImmutableSet<HostId> all() {
    return context.members().known().stream()
        .filter(h -> h.cell().equals(context.cell()))
        .map(HostDefinition::id)
        .collect(toImmutableSet());
  }

  /** Returns the live daemons of the cell that may be assigned work. */
  ImmutableSet<HostId> eligible(long nowNanos) {
    return context.members().live(context.cell(), nowNanos).stream()
        .filter(h -> !isLeaving(h))
        .collect(toImmutableSet());
  }
}
