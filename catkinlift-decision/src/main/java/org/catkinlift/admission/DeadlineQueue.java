package org.catkinlift.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Orders the requests that wait for one upstream.
 *
 * <p>Load pattern: more demand than slots for a long time. Requests that can still be answered in
 * time go before those that are late already; otherwise all would be answered late. Among equals
 * the higher rank goes first, then the one that must be answered first. Confined to one thread.
 *
 * @param <T> the requests
 */
public final class DeadlineQueue<T> {
  private final List<Entry<T>> entries = new ArrayList<>();

  private record Entry<T>(T request, Urgency urgency) {}

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public int size() {
    return entries.size();
  }

  /**
   * Adds a request.
   *
   * @param request the request
   * @param urgency when it must be answered
   */
  public void add(T request, Urgency urgency) {
    entries.add(new Entry<>(request, urgency));
  }

  /**
   * Removes a request that waits no longer.
   *
   * @param request the request
   * @return false if it did not wait
   */
  public boolean remove(T request) {
    return entries.removeIf(e -> e.request().equals(request));
  }

  /**
   * Counts the waiting requests that go before a new one.
   *
   * @param urgency when the new one must be answered
   * @param nowNanos the time
   * @param serviceNanos how long the upstream is expected to work on a request
   * @return the number
   */
  public int countAhead(Urgency urgency, long nowNanos, long serviceNanos) {
    int count = 0;
    for (Entry<T> entry : entries) {
      if (!precedes(urgency, entry.urgency(), nowNanos, serviceNanos)) {
        count++;
      }
    }
    return count;
  }

  /**
   * Removes the request that goes next.
   *
   * @param nowNanos the time
   * @param serviceNanos how long the upstream is expected to work on a request
   * @return the request, or empty if none waits
   */
  public Optional<T> takeNext(long nowNanos, long serviceNanos) {
    if (entries.isEmpty()) {
      return Optional.empty();
    }
    int best = 0;
    for (int i = 1; i < entries.size(); i++) {
      Urgency urgency = entries.get(i).urgency();
      if (precedes(urgency, entries.get(best).urgency(), nowNanos, serviceNanos)) {
        best = i;
      }
    }
    return Optional.of(entries.remove(best).request());
  }

  /**
   * Removes all requests.
   *
   * @return the requests in the order in which they came
   */
  public List<T> takeAll() {
    List<T> all = entries.stream().map(Entry::request).toList();
    entries.clear();
    return all;
  }

  private static boolean precedes(Urgency one, Urgency other, long now, long service) {
    boolean inTime = one.isInTime(now, service);
    if (inTime != other.isInTime(now, service)) {
      return inTime;
    }
    if (one.priority() != other.priority()) {
      return one.priority() < other.priority();
    }
    return one.targetNanos() < other.targetNanos();
  }
}
