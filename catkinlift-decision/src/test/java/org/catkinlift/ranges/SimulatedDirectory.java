package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.upstreams.UpstreamRecord;

/** The records of the upstreams in the store. Each host sees a change after a delay of its own. */
final class SimulatedDirectory {
  private static final Duration MIN_VISIBILITY_DELAY = Duration.ofMillis(50);
  private static final Duration MAX_VISIBILITY_DELAY = Duration.ofMillis(600);
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);

  /** A record is removed after three heartbeat intervals without one. */
  private static final Duration EXPIRY_DELAY = Duration.ofMillis(1_500);

  private final SimulationEnvironment environment;
  private final SimulatedStore store;
  private final List<SimulatedHost> subscribers = new ArrayList<>();
  private final Map<UpstreamId, UpstreamRecord> records = new TreeMap<>();
  private final Deque<NetworkAddress> freeAddresses = new ArrayDeque<>();
  private int newAddresses;

  SimulatedDirectory(SimulationEnvironment environment, SimulatedStore store) {
    this.environment = environment;
    this.store = store;
  }

  /** Returns a free address in exchange for one that is no longer used. */
  NetworkAddress exchangeAddress(NetworkAddress unused) {
    boolean isNew = freeAddresses.isEmpty() || environment.random().nextBoolean();
    NetworkAddress next =
        isNew ? NetworkAddress.of("10.0.2." + ++newAddresses, 80) : freeAddresses.removeFirst();
    freeAddresses.addLast(unused);
    return next;
  }

  void subscribe(SimulatedHost host) {
    subscribers.add(host);
    refresh(host);
  }

  void publish(UpstreamRecord record) {
    records.put(record.id(), record);
    subscribers.forEach(this::refreshLater);
  }

  /** Removes a record, unless the upstream has published a newer one. */
  void remove(UpstreamRecord record) {
    if (records.remove(record.id(), record)) {
      subscribers.forEach(this::refreshLater);
    }
  }

  /** Removes the record of an upstream that has ended without a message. */
  void removeAfterSilence(UpstreamRecord record) {
    environment.after(EXPIRY_DELAY, () -> remove(record));
  }

  void refreshLater(SimulatedHost host) {
    Duration delay = environment.delayBetween(MIN_VISIBILITY_DELAY, MAX_VISIBILITY_DELAY);
    environment.after(delay, () -> refresh(host));
  }

  private void refresh(SimulatedHost host) {
    if (store.isDown() || host.isDisconnectedFromStore() || host.isSuspended()) {
      environment.after(RETRY_DELAY, () -> refresh(host));
      return;
    }
    host.upstreamsChanged(ImmutableList.copyOf(records.values()));
  }
}
