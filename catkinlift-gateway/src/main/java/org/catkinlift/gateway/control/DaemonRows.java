package org.catkinlift.gateway.control;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.catkinlift.gateway.store.RowKey;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.ServiceName;

/**
 * The store rows in which the daemons keep their own state.
 *
 * <p>Keys carry the era of the store, so that a late write of an earlier era, whose condition may
 * hold by coincidence, touches no row of the later one. Without an era they have no prefix.
 */
final class DaemonRows {
  static final String TABLE = "catkinlift";

  /** The table of the role, which changes often and to which no daemon subscribes. */
  private static final String ROLE_TABLE = "catkinlift-role";

  private static final String MAP_PREFIX = "ranges-";
  private static final Pattern MAP_KEY =
      Pattern.compile("(?:era(?<era>[1-9][0-9]{0,8})-)?" + MAP_PREFIX + "(?<service>.+)");

  private DaemonRows() {}

  /** The service and era of a range map. */
  record MapKey(long era, ServiceName service) {}

  /** Returns the row of the coordinator role. */
  static RowKey lease(long era) {
    return new RowKey(ROLE_TABLE, prefix(era) + "coordinator");
  }

  /**
   * Returns the row that is written only when the role is claimed. Transactions of the coordinator
   * expect its version, so renewals of the lease do not conflict with them.
   */
  static RowKey claim(long era) {
    return new RowKey(ROLE_TABLE, prefix(era) + "claim");
  }

  /** Returns the row of the range map of a service. */
  static RowKey map(long era, ServiceName service) {
    return new RowKey(TABLE, prefix(era) + MAP_PREFIX + service);
  }

  /** Returns what the key of a row in {@link #TABLE} names, or empty if it is no range map. */
  static Optional<MapKey> parseMapKey(String key) {
    Matcher matcher = MAP_KEY.matcher(key);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    String era = matcher.group("era");
    try {
      return Optional.of(
          new MapKey(
              era == null ? 0 : Long.parseLong(era), ServiceName.of(matcher.group("service"))));
    } catch (ModelException e) {
      return Optional.empty();
    }
  }

  private static String prefix(long era) {
    return era == 0 ? "" : "era" + era + "-";
  }
}
