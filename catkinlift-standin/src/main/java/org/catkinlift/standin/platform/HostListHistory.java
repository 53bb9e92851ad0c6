package org.catkinlift.standin.platform;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * The history of host lists, from which the platform serves a list that lags behind.
 *
 * @param entries the lists, oldest first
 */
public record HostListHistory(ImmutableList<Entry> entries) {

  /** A history without host lists. */
  public static final HostListHistory EMPTY = new HostListHistory(ImmutableList.of());

  /**
   * A host list and the time from which it applies.
   *
   * @param sinceNanos the time from which the list applies
   * @param list the list
   */
  public record Entry(long sinceNanos, HostList list) {}

  /**
   * Returns this history with a list appended.
   *
   * @param nowNanos the current time
   * @param list the list that applies from now on
   * @return the extended history
   */
  public HostListHistory with(long nowNanos, HostList list) {
    return new HostListHistory(
        ImmutableList.<Entry>builder().addAll(entries).add(new Entry(nowNanos, list)).build());
  }

  /**
   * Returns the list that is visible to readers.
   *
   * @param nowNanos the current time
   * @param lag how far the visible list lags behind
   * @return the list that applied at that time; an empty list before the first entry
   */
  public HostList visibleAt(long nowNanos, Duration lag) {
    long shownNanos = nowNanos - lag.toNanos();
    return entries.reverse().stream()
        .filter(e -> e.sinceNanos() - shownNanos <= 0)
        .findFirst()
        .map(Entry::list)
        .orElse(HostList.EMPTY);
  }
}
