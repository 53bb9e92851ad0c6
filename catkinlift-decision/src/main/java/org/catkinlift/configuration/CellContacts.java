package org.catkinlift.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.control.MembershipView;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/**
 * Selects a contact daemon in each other cell, preferably the representative of that cell.
 *
 * <p>The contact is the daemon of the cell that sent the latest digest, because only
 * representatives send digests to other cells. If no recent digest is known, the known daemons of
 * the cell are used round-robin; each of them announces new values to its own representative.
 */
final class CellContacts {
  private static final Duration SENDER_EXPIRY = Duration.ofSeconds(10);

  /**
   * Grouping 19,000 hosts takes milliseconds, so hosts are regrouped at this interval and when
   * their number changes.
   */
  private static final Duration REGROUP_INTERVAL = Duration.ofSeconds(10);

  private record Sender(HostId host, long receivedNanos) {}

  private final MembershipView members;
  private final Map<CellId, Sender> senders = new HashMap<>();
  private final Map<HostId, Long> firstDigestNanos = new HashMap<>();
  private ImmutableListMultimap<CellId, HostDefinition> hostsByCell = ImmutableListMultimap.of();
  private long regroupDueNanos = Long.MIN_VALUE;

  CellContacts(MembershipView members) {
    this.members = members;
  }

  void recordDigest(HostId host, long nowNanos) {
    members.find(host).ifPresent(h -> senders.put(h.cell(), new Sender(host, nowNanos)));
    firstDigestNanos.putIfAbsent(host, nowNanos);
  }

  ImmutableList<Candidate> candidates(long round, long nowNanos) {
    regroup(nowNanos);
    var candidates = ImmutableList.<Candidate>builder();
    for (CellId cell : hostsByCell.keySet()) {
      if (!cell.equals(members.self().cell())) {
        candidates.add(candidate(contact(cell, round, nowNanos), nowNanos));
      }
    }
    return candidates.build();
  }

  private void regroup(long nowNanos) {
    if (nowNanos < regroupDueNanos && members.known().size() == hostsByCell.size()) {
      return;
    }
    regroupDueNanos = nowNanos + REGROUP_INTERVAL.toNanos();
    hostsByCell = Multimaps.index(members.known(), HostDefinition::cell);
    firstDigestNanos.keySet().removeIf(h -> members.find(h).isEmpty());
  }

  private HostId contact(CellId cell, long round, long nowNanos) {
    Sender sender = senders.get(cell);
    if (sender != null && nowNanos - sender.receivedNanos() <= SENDER_EXPIRY.toNanos()) {
      return sender.host();
    }
    ImmutableList<HostDefinition> hosts = hostsByCell.get(cell);
    return hosts.get(Math.floorMod(round, hosts.size())).id();
  }

  private Candidate candidate(HostId host, long nowNanos) {
    long since = firstDigestNanos.getOrDefault(host, nowNanos);
    return new Candidate(host, Duration.ofNanos(nowNanos - since));
  }
}
