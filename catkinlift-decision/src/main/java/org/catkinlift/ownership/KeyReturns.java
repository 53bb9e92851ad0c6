package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;

/**
 * Returns keys that were placed apart and have cooled down to the owners of their slots.
 *
 * <p>The override goes only when its owner has released the key, so that the key has one owner at a
 * time. A successor that does not know of a return under way assigns the key anew.
 */
final class KeyReturns {
  private final UnitTable table;
  private final UnitLoads loads;
  private final Set<Integer> pending = new HashSet<>();

  KeyReturns(UnitTable table, UnitLoads loads) {
    this.table = table;
    this.loads = loads;
  }

  /** Returns the overrides whose release is to start now. */
  ImmutableSet<Integer> start(int upstreams, long nowNanos) {
    ImmutableSet<Integer> cooled = loads.cooledOverrides(upstreams, nowNanos);
    pending.addAll(cooled);
    return cooled;
  }

  /** Removes the overrides that are released and returns their keys. */
  ImmutableList<String> finish() {
    pending.retainAll(table.units());
    ImmutableSet<Integer> free = table.free();
    ImmutableList<Integer> released =
        pending.stream().filter(free::contains).sorted().collect(toImmutableList());
    pending.removeAll(released);
    return released.stream().map(this::remove).collect(toImmutableList());
  }

  private String remove(int unit) {
    loads.forget(unit);
    return table.removeOverride(unit);
  }
}
