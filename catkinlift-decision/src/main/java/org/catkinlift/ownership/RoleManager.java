package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableSet.toImmutableSet;
import static com.google.common.collect.ImmutableSortedSet.toImmutableSortedSet;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.RowValue;
import org.catkinlift.control.RowValue.CellRow;
import org.catkinlift.model.HostId;

/** Acquires a role, renews its row when promises are missing, and updates its voters. */
final class RoleManager {
  /**
   * The holder and four others. Each additional voter would have to answer every promise request.
   */
  private static final int MAX_VOTERS = 5;

  private final HostId self;
  private final OwnershipTimings timings;
  private final RoleAuthority authority;
  private final RowWriter writer;

  RoleManager(HostId self, OwnershipTimings timings, RoleAuthority authority, RequestIds ids) {
    this.self = self;
    this.timings = timings;
    this.authority = authority;
    this.writer = new RowWriter(authority.rowName(), ids);
  }

  RoleAuthority authority() {
    return authority;
  }

  void read(Outbox out) {
    writer.read(out);
  }

  boolean isBusy() {
    return writer.isBusy();
  }

  void tick(long nowNanos, Outbox out) {
    writer.tick(nowNanos, out);
  }

  /** Writes the row with this daemon as the holder of the next term. */
  void acquire(ImmutableSet<HostId> voters, long nowNanos, Outbox out) {
    acquire(voters, ImmutableMap.of(), ImmutableMap.of(), nowNanos, out);
  }

  /** Acquires the role in one transaction with writes of other rows. */
  void acquire(
      ImmutableSet<HostId> voters,
      ImmutableMap<String, Long> conditions,
      ImmutableMap<String, RowValue> writes,
      long nowNanos,
      Outbox out) {
    if (writer.isBusy()) {
      return;
    }
    var allVoters = ImmutableSortedSet.<HostId>naturalOrder().add(self).addAll(voters).build();
    var row = new CellRow(self, authority.term() + 1, allVoters, 0);
    writer.write(
        ImmutableMap.<String, Long>builder()
            .putAll(conditions)
            .put(authority.rowName(), authority.version())
            .buildOrThrow(),
        ImmutableMap.<String, RowValue>builder()
            .putAll(writes)
            .put(authority.rowName(), row)
            .buildOrThrow(),
        nowNanos,
        out);
  }

  /**
   * Writes the row if its voters must change or if promises are missing and a renewal is due.
   *
   * @param voters the desired voters; a daemon that is not yet a voter is added once it has given a
   *     promise
   */
  void maintain(Set<HostId> voters, long nowNanos, Outbox out) {
    if (writer.isBusy() || authority.row().isEmpty()) {
      return;
    }
    CellRow row = authority.row().get();
    ImmutableSortedSet<HostId> next = nextVoters(row, voters, nowNanos);
    boolean renewalDue = nowNanos - writer.writtenAt() >= timings.platformRenewal().toNanos();
    if (next.equals(row.voters()) && (authority.hasAllPromises(nowNanos) || !renewalDue)) {
      return;
    }
    authority.setPendingVoters(Sets.difference(next, row.voters()).immutableCopy());
    var updatedRow = new CellRow(self, row.term(), next, row.renewal() + 1);
    writer.write(authority.version(), updatedRow, nowNanos, out);
  }

  private ImmutableSortedSet<HostId> nextVoters(CellRow row, Set<HostId> desired, long nowNanos) {
    ImmutableSet<HostId> joining =
        desired.stream()
            .filter(v -> !row.voters().contains(v) && authority.hasPromised(v, nowNanos))
            .collect(toImmutableSet());
    ImmutableSet<HostId> staying =
        row.voters().stream()
            .filter(v -> desired.contains(v) || v.equals(self))
            .collect(toImmutableSet());
    return Sets.union(staying, joining).stream()
        .limit(MAX_VOTERS)
        .collect(toImmutableSortedSet(Comparator.naturalOrder()));
  }

  /** Requests promises from the voters and from as many candidates as may still become voters. */
  void requestPromises(Set<HostId> candidates, Duration duration, long nowNanos, Outbox out) {
    ImmutableSet<HostId> voters = authority.otherVoters();
    ImmutableSet<HostId> joining =
        candidates.stream()
            .filter(c -> !c.equals(self) && !voters.contains(c))
            .limit(Math.max(0, MAX_VOTERS - 1 - voters.size()))
            .collect(toImmutableSet());
    authority.requestPromises(Sets.union(voters, joining), duration, nowNanos, out);
  }

  /** Handles the answer to a call of this manager; ignores answers to other calls. */
  void onReply(long call, Reply reply, long nowNanos, Outbox out) {
    if (!writer.isOwnCall(call)) {
      return;
    }
    Optional<RowWriter.Result> result = writer.onReply(reply, nowNanos, out);
    if (result.isEmpty()) {
      return;
    }
    long previousVersion = authority.version();
    authority.observe(result.get().row(), nowNanos);
    if (authority.version() > previousVersion) {
      authority.setPendingVoters(ImmutableSet.of()); // a late write may change an unchanged row
    }
    if (result.get().ownWrite()) {
      authority.onRenewed(writer.writtenAt());
    }
  }
}
