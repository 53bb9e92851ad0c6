package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;

/**
 * Removes the overrides of keys that are no longer hot, so that the owners of their slots own them
 * again.
 *
 * <p>An override is removed only after its owner has released the key, so that the key has at most
 * one owner at any time. A new coordinator does not know of pending returns and assigns the key
 * again.
 */
final class KeyReturns {
  private final UnitTable table;
  private final UnitLoads loads;
  private final Set<Integer> pending = new HashSet<>();

  KeyReturns(UnitTable table, UnitLoads loads) {
    this.table = table;
    this.loads = loads;
  }

  /** Returns the overrides whose release must start now. */
  ImmutableSet<Integer> start(int upstreams, long nowNanos) {
    ImmutableSet<Integer> cooled = loads.cooledOverrides(upstreams, nowNanos);
    pending.addAll(cooled);
    return cooled;
  }

  /** Removes the released overrides and returns their keys. */
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
