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
 * Schedules the hello messages that this daemon sends.
 *
 * <p>Hellos to seeds and cell peers are repeated until the receiver has replied. Two daemons of
 * every other cell get one hello each and announce this daemon to their own cell peers. In
 * addition, the cell peers form a ring in the order of their host names: each daemon sends a small
 * hello to the next two live peers every 250 ms.
 *
 * <p>A hello that wants a reply and has an empty list of known hosts requests all hosts that the
 * receiver knows. It is sent to only two receivers at a time, because the reply may list up to
 * 19,000 hosts. A hello that lists only its receiver requests just a sign of life.
 */
final class HelloScheduler {
  /** The number of ring successors; in cells of up to three daemons they are all the cell peers. */
  static final int RING_SUCCESSORS = 2;

  private static final Duration RING_INTERVAL = Duration.ofMillis(250);
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(2);
  private static final int HELLOS_PER_REMOTE_CELL = 2;
  private static final int CONCURRENT_HOST_REQUESTS = 2;

  private final HostDefinition self;
  private final ImmutableSet<HostDefinition> seeds;
  private final MemberTable table;
  private final Map<CellId, Integer> hellosByRemoteCell = new HashMap<>();
  private final Set<HostId> hostRequestReceivers = new HashSet<>();
  private long ringDueNanos = Long.MIN_VALUE;
  private long retryDueNanos = Long.MIN_VALUE;
  private boolean hasReceivedHosts;
  private int hostRequestOffset;

  HelloScheduler(HostDefinition self, ImmutableSet<HostDefinition> seeds, MemberTable table) {
    this.self = self;
    this.seeds = seeds;
    this.table = table;
  }

  ImmutableList<ControlAction> tick(long nowNanos) {
    var actions = ImmutableList.<ControlAction>builder();
    if (nowNanos >= retryDueNanos) {
      retryDueNanos = nowNanos + RETRY_INTERVAL.toNanos();
      seeds.forEach(s -> table.addIfAbsent(s, nowNanos));
      actions.addAll(requestReply(pendingPeers(nowNanos)));
    }
    if (nowNanos >= ringDueNanos) {
      ringDueNanos = nowNanos + RING_INTERVAL.toNanos();
      ringSuccessors(nowNanos).forEach(h -> actions.add(hello(h, ImmutableSet.of(), false)));
    }
    return actions.build();
  }

  private ImmutableList<ControlAction> requestReply(ImmutableList<HostDefinition> receivers) {
    var actions = ImmutableList.<ControlAction>builder();
    for (int i = 0; i < receivers.size(); i++) {
      boolean requestsHosts = !hasReceivedHosts && isHostRequestReceiver(i, receivers.size());
      actions.add(requestReply(receivers.get(i), requestsHosts));
    }
    hostRequestOffset += CONCURRENT_HOST_REQUESTS;
    return actions.build();
  }

  private ControlAction requestReply(HostDefinition receiver, boolean requestsHosts) {
    if (!requestsHosts) {
      return hello(receiver.id(), ImmutableSet.of(receiver), true);
    }
    hostRequestReceivers.add(receiver.id());
    return hello(receiver.id(), ImmutableSet.of(), true);
  }

  private boolean isHostRequestReceiver(int index, int count) {
    return Math.floorMod(index - hostRequestOffset, count) < CONCURRENT_HOST_REQUESTS;
  }

  /**
   * Returns the seeds that have not sent a hello and the cell peers that have not sent one or are
   * not live. Until a peer has sent the hosts that it knows, all seeds and cell peers are included.
   */
  private ImmutableList<HostDefinition> pendingPeers(long nowNanos) {
    ImmutableSet<HostId> live = table.live(self.cell(), nowNanos);
    var hosts = new LinkedHashSet<HostId>();
    seeds.stream()
        .map(HostDefinition::id)
        .filter(h -> !h.equals(self.id()) && (!hasReceivedHosts || !table.hasSentHello(h)))
        .forEach(hosts::add);
    table.cellPeers().stream()
        .filter(h -> !hasReceivedHosts || !live.contains(h) || !table.hasSentHello(h))
        .forEach(hosts::add);
    return hosts.stream().map(table::find).flatMap(Optional::stream).collect(toImmutableList());
  }

  private ImmutableList<HostId> ringSuccessors(long nowNanos) {
    ImmutableSet<HostId> live = table.live(self.cell(), nowNanos);
    ImmutableSet<HostId> livePeers =
        table.cellPeers().stream().filter(live::contains).collect(toImmutableSet());
    var ring =
        Iterables.concat(
            Iterables.filter(livePeers, h -> h.compareTo(self.id()) > 0),
            Iterables.filter(livePeers, h -> h.compareTo(self.id()) < 0));
    return ImmutableList.copyOf(Iterables.limit(ring, RING_SUCCESSORS));
  }

  /**
   * Replies to a hello if the sender wants it, with all known hosts if the sender requests them.
   */
  ImmutableList<ControlAction> reply(PeerMessage.Hello hello) {
    hasReceivedHosts |=
        hostRequestReceivers.contains(hello.self().id()) && !hello.known().isEmpty();
    if (!hello.wantsReply()) {
      return ImmutableList.of();
    }
    boolean requestsHosts = hello.known().isEmpty();
    return ImmutableList.of(
        hello(hello.self().id(), requestsHosts ? table.others() : ImmutableSet.of(), false));
  }

  /** Sends hellos to hosts that have just been discovered. */
  ImmutableList<ControlAction> onHostsAdded(ImmutableSet<HostDefinition> hosts) {
    return hosts.stream()
        .filter(h -> !table.hasSentHello(h.id()) && shouldSendHello(h))
        .map(h -> hello(h.id(), ImmutableSet.of(h), h.cell().equals(self.cell())))
        .collect(toImmutableList());
  }

  /** Counts the hellos to other cells, of which each gets only the first few. */
  private boolean shouldSendHello(HostDefinition host) {
    if (host.cell().equals(self.cell())) {
      return true;
    }
    return hellosByRemoteCell.merge(host.cell(), 1, Integer::sum) <= HELLOS_PER_REMOTE_CELL;
  }

  /** Announces new hosts to the cell peers. */
  ImmutableList<ControlAction> announceToCell(ImmutableSet<HostDefinition> hosts) {
    if (hosts.isEmpty()) {
      return ImmutableList.of();
    }
    var hello = new PeerMessage.Hello(self, hosts, false);
    return table.cellPeers().stream().map(h -> new SendToPeer(h, hello)).collect(toImmutableList());
  }

  private ControlAction hello(HostId to, ImmutableSet<HostDefinition> known, boolean wantsReply) {
    return new SendToPeer(to, new PeerMessage.Hello(self, known, wantsReply));
  }
}
