package org.catkinlift.membership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlAction.SendToPeer;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/**
 * Decides whom this daemon greets and when.
 *
 * <p>Seeds and cell mates are greeted until they have greeted back. Of every other cell, two
 * daemons are greeted once; they name this daemon to their cell mates. The next live cell mates in
 * the order of host names get a small greeting every 250 ms.
 *
 * <p>A greeting that names nobody asks for all hosts that the receiver knows. Only two receivers at
 * a time get one, because the answer names up to 19,000 hosts. A greeting that names its receiver
 * asks only whether the receiver is live.
 */
final class Introductions {
  /** The number of cell mates that get regular greetings: complete for cells of three daemons. */
  static final int RING_SUCCESSORS = 2;

  private static final Duration RING_INTERVAL = Duration.ofMillis(250);
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(2);
  private static final int GREETED_PER_CELL = 2;
  private static final int ASKED_AT_ONCE = 2;

  private final HostDefinition self;
  private final ImmutableSet<HostDefinition> seeds;
  private final MemberTable table;
  private final Map<CellId, Integer> greetedByCell = new HashMap<>();
  private final Set<HostId> asked = new HashSet<>();
  private long ringDueNanos = Long.MIN_VALUE;
  private long retryDueNanos = Long.MIN_VALUE;
  private boolean knowsHosts;
  private int askedUpTo;

  Introductions(HostDefinition self, ImmutableSet<HostDefinition> seeds, MemberTable table) {
    this.self = self;
    this.seeds = seeds;
    this.table = table;
  }

  ImmutableList<ControlAction> tick(long nowNanos) {
    var actions = ImmutableList.<ControlAction>builder();
    if (nowNanos >= retryDueNanos) {
      retryDueNanos = nowNanos + RETRY_INTERVAL.toNanos();
      seeds.forEach(s -> table.learn(s, nowNanos));
      actions.addAll(introduce(silent(nowNanos)));
    }
    if (nowNanos >= ringDueNanos) {
      ringDueNanos = nowNanos + RING_INTERVAL.toNanos();
      ringSuccessors(nowNanos).forEach(h -> actions.add(greeting(h, ImmutableSet.of(), false)));
    }
    return actions.build();
  }

  private ImmutableList<ControlAction> introduce(ImmutableList<HostDefinition> receivers) {
    var actions = ImmutableList.<ControlAction>builder();
    for (int i = 0; i < receivers.size(); i++) {
      boolean asksForHosts = !knowsHosts && isAsked(i, receivers.size());
      actions.add(introduce(receivers.get(i), asksForHosts));
    }
    askedUpTo += ASKED_AT_ONCE;
    return actions.build();
  }

  private ControlAction introduce(HostDefinition receiver, boolean asksForHosts) {
    if (!asksForHosts) {
      return greeting(receiver.id(), ImmutableSet.of(receiver), true);
    }
    asked.add(receiver.id());
    return greeting(receiver.id(), ImmutableSet.of(), true);
  }

  private boolean isAsked(int index, int count) {
    return Math.floorMod(index - askedUpTo, count) < ASKED_AT_ONCE;
  }

  /**
   * The cell mates that are not live or have not greeted, and the seeds that have not greeted; all
   * of them until one has named the hosts that it knows.
   */
  private ImmutableList<HostDefinition> silent(long nowNanos) {
    ImmutableSet<HostId> live = table.live(self.cell(), nowNanos);
    var hosts = new LinkedHashSet<HostId>();
    seeds.stream()
        .map(HostDefinition::id)
        .filter(h -> !h.equals(self.id()) && (!knowsHosts || !table.hasGreeted(h)))
        .forEach(hosts::add);
    table.cellMates().stream()
        .filter(h -> !knowsHosts || !live.contains(h) || !table.hasGreeted(h))
        .forEach(hosts::add);
    return hosts.stream().map(table::find).flatMap(Optional::stream).collect(toImmutableList());
  }

  private ImmutableList<HostId> ringSuccessors(long nowNanos) {
    ImmutableSet<HostId> live = table.live(self.cell(), nowNanos);
    ImmutableSet<HostId> mates =
        table.cellMates().stream().filter(live::contains).collect(toImmutableSet());
    var ring =
        Iterables.concat(
            Iterables.filter(mates, h -> h.compareTo(self.id()) > 0),
            Iterables.filter(mates, h -> h.compareTo(self.id()) < 0));
    return ImmutableList.copyOf(Iterables.limit(ring, RING_SUCCESSORS));
  }

  /** Answers a greeting that wants it; names all known hosts if the sender asks for them. */
  ImmutableList<ControlAction> answer(PeerMessage.Hello hello) {
    knowsHosts |= asked.contains(hello.self().id()) && !hello.known().isEmpty();
    if (!hello.wantsReply()) {
      return ImmutableList.of();
    }
    boolean asksForHosts = hello.known().isEmpty();
    return ImmutableList.of(
        greeting(hello.self().id(), asksForHosts ? table.others() : ImmutableSet.of(), false));
  }

  /** Greets daemons that this one has just learnt of. */
  ImmutableList<ControlAction> learnt(ImmutableSet<HostDefinition> hosts) {
    return hosts.stream()
        .filter(h -> !table.hasGreeted(h.id()) && isToBeGreeted(h))
        .map(h -> greeting(h.id(), ImmutableSet.of(h), h.cell().equals(self.cell())))
        .collect(toImmutableList());
  }

  private boolean isToBeGreeted(HostDefinition host) {
    if (host.cell().equals(self.cell())) {
      return true;
    }
    return greetedByCell.merge(host.cell(), 1, Integer::sum) <= GREETED_PER_CELL;
  }

  /** Names new hosts to the cell mates. */
  ImmutableList<ControlAction> spread(ImmutableSet<HostDefinition> hosts) {
    if (hosts.isEmpty()) {
      return ImmutableList.of();
    }
    var hello = new PeerMessage.Hello(self, hosts, false);
    return table.cellMates().stream().map(h -> new SendToPeer(h, hello)).collect(toImmutableList());
  }

  private ControlAction greeting(
      HostId to, ImmutableSet<HostDefinition> known, boolean wantsReply) {
    return new SendToPeer(to, new PeerMessage.Hello(self, known, wantsReply));
  }
}
