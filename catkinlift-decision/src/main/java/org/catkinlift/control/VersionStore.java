package org.catkinlift.control;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellId;
import org.catkinlift.model.CellLoad;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.DispatcherMap;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.Versioned;

/**
 * Keeps the latest version of each value that spreads among daemons.
 *
 * <p>A value is replaced only by a later one, so nothing that was in force on this daemon reverts.
 * Control thread only.
 */
public final class VersionStore {
  private final TreeMap<String, Versioned> values = new TreeMap<>();
  private final Map<String, Long> updateNumbers = new HashMap<>();
  private final TreeMap<Long, String> namesByUpdateNumber = new TreeMap<>();
  private long updateCount;

  /**
   * Takes a value over if it is later than the present one.
   *
   * @param value the value
   * @return true if the value was taken over
   */
  @CanIgnoreReturnValue
  public boolean offer(Versioned value) {
    Versioned current = values.get(value.name());
    if (current != null && !value.versionEpoch().isAfter(current.versionEpoch())) {
      return false;
    }
    values.put(value.name(), value);
    updateCount++;
    Long previous = updateNumbers.put(value.name(), updateCount);
    if (previous != null) {
      namesByUpdateNumber.remove(previous);
    }
    namesByUpdateNumber.put(updateCount, value.name());
    return true;
  }

  /**
   * Counts the values that were taken over so far.
   *
   * @return the count; grows with each change
   */
  public long updateCount() {
    return updateCount;
  }

  /**
   * States the versions of the values that were taken over lately.
   *
   * @param after a count of {@link #updateCount}; values taken over until then are left out
   * @return the digest
   */
  public PeerMessage.Digest digestSince(long after) {
    return digestOf(namesByUpdateNumber.tailMap(after, false).values());
  }

  /**
   * States the versions of the values that were taken over last.
   *
   * @param limit the greatest number of values
   * @return the digest
   */
  public PeerMessage.Digest recentDigest(int limit) {
    return digestOf(namesByUpdateNumber.descendingMap().values().stream().limit(limit).toList());
  }

  /**
   * States the versions of the values that follow a name, so that repeated calls cover all values.
   *
   * @param after the name; the values that follow it in alphabetical order are stated
   * @param limit the greatest number of values
   * @return the digest
   */
  public PeerMessage.Digest digestAfter(String after, int limit) {
    return digestOf(values.tailMap(after, false).keySet().stream().limit(limit).toList());
  }

  private PeerMessage.Digest digestOf(Collection<String> names) {
    return new PeerMessage.Digest(
        names.stream().collect(toImmutableMap(n -> n, n -> values.get(n).versionEpoch())));
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration; {@link Configuration#EMPTY} if none has arrived
   */
  public Configuration configuration() {
    return valueOf(Configuration.class, Configuration.NAME).orElse(Configuration.EMPTY);
  }

  /**
   * Returns a home map.
   *
   * @param service the service
   * @return the home map, if one has arrived
   */
  public Optional<HomeMap> homeMap(ServiceName service) {
    return valueOf(HomeMap.class, HomeMap.nameOf(service));
  }

  /**
   * Returns the assignments of all cells.
   *
   * @param service the service
   * @return the assignments, ordered by cell
   */
  public ImmutableList<Assignment> assignments(ServiceName service) {
    return valuesOf(Assignment.class).stream()
        .filter(a -> a.service().equals(service))
        .collect(toImmutableList());
  }

  /**
   * Returns the assignment of one cell.
   *
   * @param service the service
   * @param cell the cell
   * @return the assignment, if one has arrived
   */
  public Optional<Assignment> assignment(ServiceName service, CellId cell) {
    return valueOf(Assignment.class, Assignment.nameOf(service, cell));
  }

  /**
   * Returns the load of one cell.
   *
   * @param service the service
   * @param cell the cell
   * @return the load, if a report has arrived
   */
  public Optional<CellLoad> cellLoad(ServiceName service, CellId cell) {
    return valueOf(CellLoad.class, CellLoad.nameOf(service, cell));
  }

  /**
   * Returns the dispatchers of all cells.
   *
   * @return the maps, ordered by cell
   */
  public ImmutableList<DispatcherMap> dispatcherMaps() {
    return valuesOf(DispatcherMap.class);
  }

  /**
   * Returns a value by name.
   *
   * @param name the name
   * @return the value, if one has arrived
   */
  public Optional<Versioned> value(String name) {
    return Optional.ofNullable(values.get(name));
  }

  /**
   * States the versions of all values.
   *
   * @return the digest
   */
  public PeerMessage.Digest digest() {
    return new PeerMessage.Digest(
        values.values().stream().collect(toImmutableMap(Versioned::name, Versioned::versionEpoch)));
  }

  /**
   * Names the values of which a digest has a later version.
   *
   * @param digest another daemon's digest
   * @return the names, ordered
   */
  public ImmutableList<String> missing(PeerMessage.Digest digest) {
    return digest.versions().entrySet().stream()
        .filter(e -> e.getValue().isAfter(orderOf(e.getKey())))
        .map(Map.Entry::getKey)
        .sorted()
        .collect(toImmutableList());
  }

  private Epoch orderOf(String name) {
    Versioned current = values.get(name);
    return current == null ? Epoch.NONE : current.versionEpoch();
  }

  private <T extends Versioned> Optional<T> valueOf(Class<T> type, String name) {
    return value(name).map(type::cast);
  }

  private <T extends Versioned> ImmutableList<T> valuesOf(Class<T> type) {
    return values.values().stream()
        .filter(type::isInstance)
        .map(type::cast)
        .collect(toImmutableList());
  }
}
