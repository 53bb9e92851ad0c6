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
 * Stores the newest version of each value that is disseminated among daemons.
 *
 * <p>A value is replaced only by a newer one, so a value in force on this daemon never reverts.
 * Confined to the control thread.
 */
public final class VersionStore {
  private final TreeMap<String, Versioned> values = new TreeMap<>();
  private final Map<String, Long> updateNumbers = new HashMap<>();
  private final TreeMap<Long, String> namesByUpdateNumber = new TreeMap<>();
  private long updateCount;

  /**
   * Stores a value if it is newer than the current one.
   *
   * @param value the value
   * @return true if the value was stored
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
   * Returns the number of updates since the start of this daemon.
   *
   * @return the number, which increases with each stored value
   */
  public long updateCount() {
    return updateCount;
  }

  /**
   * Returns the versions of the values that were updated after a point in time.
   *
   * @param after an earlier result of {@link #updateCount}; values last updated until then are left
   *     out
   * @return the digest
   */
  public PeerMessage.Digest digestSince(long after) {
    return digestOf(namesByUpdateNumber.tailMap(after, false).values());
  }

  /**
   * Returns the versions of the most recently updated values.
   *
   * @param limit the maximum number of values
   * @return the digest
   */
  public PeerMessage.Digest recentDigest(int limit) {
    return digestOf(namesByUpdateNumber.descendingMap().values().stream().limit(limit).toList());
  }

  /**
   * Returns the versions of the values that follow a name in alphabetical order, so that repeated
   * calls cover all values.
   *
   * @param after the name
   * @param limit the maximum number of values
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
   * Returns the versions of all values.
   *
   * @return the digest
   */
  public PeerMessage.Digest digest() {
    return new PeerMessage.Digest(
        values.values().stream().collect(toImmutableMap(Versioned::name, Versioned::versionEpoch)));
  }

  /**
   * Returns the names of the values of which a digest lists a newer version.
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
