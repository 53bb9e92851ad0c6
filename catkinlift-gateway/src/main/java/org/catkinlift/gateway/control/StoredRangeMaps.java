package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.store.StoredRow;
import org.catkinlift.model.ServiceName;
import org.catkinlift.ranges.RangeMap;

/**
 * The newest range map of each service that this daemon has read, by era and version. Confined to
 * the control thread.
 */
final class StoredRangeMaps {
  private final EventLog log;
  private final Map<ServiceName, Stored> maps = new HashMap<>();

  private record Stored(long era, long version, RangeMap map) {}

  StoredRangeMaps(EventLog log) {
    this.log = log;
  }

  /**
   * Applies a row of a range map, unless a newer map is known. A row of an earlier era than the
   * store's counts only while no map of that era is known: versions of earlier eras are issued
   * again.
   *
   * @param key the key of the row
   * @param row the row
   * @param storeEra the present era of the store
   */
  void apply(DaemonRows.MapKey key, StoredRow row, long storeEra) {
    Optional<Stored> known = Optional.ofNullable(maps.get(key.service()));
    if (known.filter(k -> !isNewer(key.era(), row.version(), k, storeEra)).isPresent()) {
      return;
    }
    RangeMap map;
    try {
      map = RangeMapCodec.decode(row.value());
    } catch (RuntimeException e) {
      log.log(
          EventCode.ROW_SKIPPED,
          ImmutableMap.of("key", key, "version", row.version(), "reason", e.toString()));
      return;
    }
    maps.put(key.service(), new Stored(key.era(), row.version(), map));
    log.log(
        EventCode.RANGE_MAP_APPLIED,
        ImmutableMap.of(
            "service",
            key.service(),
            "version",
            row.version(),
            "ranges",
            map.assignments().size()));
  }

  private static boolean isNewer(long era, long version, Stored known, long storeEra) {
    return era > known.era()
        || (era == known.era() && era == storeEra && version > known.version());
  }

  /** Returns the newest map of a service, or an empty one if none was read. */
  RangeMap newest(ServiceName service) {
    return maps.containsKey(service) ? maps.get(service).map() : RangeMap.EMPTY;
  }

  /** Returns all maps by service. */
  Map<ServiceName, RangeMap> all() {
    Map<ServiceName, RangeMap> all = new HashMap<>();
    maps.forEach((service, stored) -> all.put(service, stored.map()));
    return all;
  }
}
