package org.catkinlift.configuration;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlAction.SendToPeer;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.Versioned;

/**
 * Pulls newer versions of values from peers, each value from one peer at a time.
 *
 * <p>Values are pulled in small batches, so that a starting daemon does not receive thousands of
 * assignments in one frame.
 */
final class PullQueue {
  private static final int BATCH_SIZE = 16;
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

  private final Map<HostId, TreeMap<String, Epoch>> pending = new HashMap<>();
  private final Map<HostId, Long> pullSentNanos = new HashMap<>();

  /** Enqueues values of which a peer has a newer version, and pulls the first batch. */
  ImmutableList<ControlAction> enqueue(
      HostId peer, ImmutableList<String> names, PeerMessage.Digest digest, long nowNanos) {
    for (String name : names) {
      Epoch version = digest.versions().get(name);
      if (!isPendingFromOtherPeer(peer, name, version)) {
        pending.computeIfAbsent(peer, p -> new TreeMap<>()).put(name, version);
      }
    }
    return sendPull(peer, nowNanos);
  }

  private boolean isPendingFromOtherPeer(HostId peer, String name, Epoch version) {
    return pending.entrySet().stream()
        .filter(e -> !e.getKey().equals(peer))
        .map(e -> e.getValue().get(name))
        .anyMatch(v -> v != null && !version.isAfter(v));
  }

  private ImmutableList<ControlAction> sendPull(HostId peer, long nowNanos) {
    TreeMap<String, Epoch> names = pending.get(peer);
    if (names == null || pullSentNanos.containsKey(peer)) {
      return ImmutableList.of();
    }
    pullSentNanos.put(peer, nowNanos);
    ImmutableList<String> batch =
        names.keySet().stream().limit(BATCH_SIZE).collect(toImmutableList());
    return ImmutableList.of(new SendToPeer(peer, new PeerMessage.Pull(batch)));
  }

  /** Removes the received values from the queue and pulls the next batch from the peer. */
  ImmutableList<ControlAction> answered(
      HostId peer, ImmutableList<Versioned> values, long nowNanos) {
    pullSentNanos.remove(peer);
    TreeMap<String, Epoch> names = pending.get(peer);
    if (names == null) {
      return ImmutableList.of();
    }
    values.forEach(v -> names.remove(v.name()));
    if (values.isEmpty() || names.isEmpty()) {
      pending.remove(peer);
      return ImmutableList.of();
    }
    return sendPull(peer, nowNanos);
  }

  /** Drops the queues of peers that do not answer in time; later digests name other sources. */
  void tick(long nowNanos) {
    pullSentNanos
        .entrySet()
        .removeIf(
            e -> {
              boolean isTimedOut = nowNanos - e.getValue() > ANSWER_TIMEOUT.toNanos();
              if (isTimedOut) {
                pending.remove(e.getKey());
              }
              return isTimedOut;
            });
  }
}
