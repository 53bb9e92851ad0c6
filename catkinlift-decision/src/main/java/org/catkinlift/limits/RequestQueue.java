package org.catkinlift.limits;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** A bounded FIFO queue of the requests that wait for an upstream. */
final class RequestQueue {
  private final Map<Long, QueuedRequest> waiting = new LinkedHashMap<>();
  private final int capacity;

  /**
   * Creates an empty queue.
   *
   * @param limit the number of requests that the upstream executes at once
   * @param factor the capacity of the queue, in multiples of the limit
   */
  RequestQueue(int limit, int factor) {
    this.capacity = limit * factor;
  }

  boolean isFull() {
    return waiting.size() >= capacity;
  }

  int size() {
    return waiting.size();
  }

  void add(QueuedRequest request) {
    waiting.put(request.attempt(), request);
  }

  boolean remove(long attempt) {
    return waiting.remove(attempt) != null;
  }

  Optional<QueuedRequest> poll() {
    var entries = waiting.values().iterator();
    if (!entries.hasNext()) {
      return Optional.empty();
    }
    QueuedRequest first = entries.next();
    entries.remove();
    return Optional.of(first);
  }

  /**
   * Removes and returns the requests that have passed their deadline or, without a lease, the
   * maximum wait for a lease.
   */
  ImmutableList<QueuedRequest> removeExpired(long nowNanos, boolean hasLease) {
    var expired = ImmutableList.<QueuedRequest>builder();
    for (var entries = waiting.values().iterator(); entries.hasNext(); ) {
      QueuedRequest request = entries.next();
      if (request.hasExpired(nowNanos, hasLease)) {
        expired.add(request);
        entries.remove();
      }
    }
    return expired.build();
  }

  ImmutableList<QueuedRequest> removeAll() {
    var all = ImmutableList.copyOf(waiting.values());
    waiting.clear();
    return all;
  }
}
