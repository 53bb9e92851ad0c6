package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.util.Comparator;
import org.catkinlift.control.PeerMessage.Digest;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/** Notifies this daemon's routing and other daemons immediately when a value has changed. */
final class ChangeAnnouncer {
  private static final int REMOTE_RECEIVERS = 3;

  private final CellContext context;
  private long round;

  ChangeAnnouncer(CellContext context) {
    this.context = context;
  }

  /** Announces the current versions if the decisions for this event have changed a value. */
  void announceIfChanged(long nowNanos, Outbox out) {
    if (!out.isChanged()) {
      return;
    }
    out.routingChanged();
    Digest digest = context.store().digest();
    round++;
    context.members().live(context.cell(), nowNanos).stream()
        .filter(h -> !h.equals(context.host()))
        .forEach(h -> out.send(h, digest));
    remoteReceivers(nowNanos).forEach(h -> out.send(h, digest));
  }

  /** Returns one daemon of each of three other cells, selected by hash for each announcement. */
  private ImmutableList<HostId> remoteReceivers(long nowNanos) {
    return context.members().known().stream()
        .map(HostDefinition::cell)
        .filter(c -> !c.equals(context.cell()))
        .distinct()
        .sorted(Comparator.comparingLong(c -> score(c.value())))
        .flatMap(c -> receiver(c, nowNanos).stream())
        .limit(REMOTE_RECEIVERS)
        .collect(toImmutableList());
  }

  private ImmutableList<HostId> receiver(CellId cell, long nowNanos) {
    return context.members().live(cell, nowNanos).stream()
        .sorted(Comparator.comparingLong(h -> score(h.value())))
        .limit(1)
        .collect(toImmutableList());
  }

  private long score(String name) {
    return Hashing.farmHashFingerprint64()
        .hashUnencodedChars(context.host() + "|" + round + "|" + name)
        .asLong();
  }
}
