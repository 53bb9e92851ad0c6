package org.catkinlift.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Orders the requests that wait for one upstream.
 *
 * <p>Load pattern: sustained demand above capacity. Requests that can still meet their target
 * precede those that are already late; otherwise all would be answered late. Among these, a higher
 * {@link RequestRank} goes first, then an earlier target. Confined to one thread.
 *
 * @param <T> the type of requests
 */
public final class DeadlineQueue<T> {
  private final List<Entry<T>> entries = new ArrayList<>();

  private record Entry<T>(T request, Urgency urgency) {}

  /** Returns the number of waiting requests. */
  public int size() {
    return entries.size();
  }

  /**
   * Adds a request.
   *
   * @param request the request
   * @param urgency the priority, target and deadline of the request
   */
  public void add(T request, Urgency urgency) {
    entries.add(new Entry<>(request, urgency));
  }

  /**
   * Removes a request that no longer waits.
   *
   * @param request the request
   * @return false if it was not waiting
   */
  public boolean remove(T request) {
    return entries.removeIf(e -> e.request().equals(request));
  }

  /**
   * Counts the waiting requests ahead of a new one.
   *
   * @param urgency the priority, target and deadline of the new request
   * @param nowNanos the current time
   * @param serviceNanos the expected service time at the upstream
   * @return the number of requests
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
   * Removes the next request.
   *
   * @param nowNanos the current time
   * @param serviceNanos the expected service time at the upstream
   * @return the request, or empty if none is waiting
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
   * @return the requests in order of arrival
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
    int order = one.rank().compareTo(other.rank());
    if (order != 0) {
      return order < 0;
    }
    return one.targetNanos() < other.targetNanos();
  }
}
