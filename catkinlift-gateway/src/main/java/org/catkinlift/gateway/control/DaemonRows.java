package org.catkinlift.gateway.control;

import org.catkinlift.gateway.store.RowKey;

/** The rows in which the daemons keep their state. */
final class DaemonRows {
  static final String TABLE = "catkinlift";
  static final String MAP_PREFIX = "ranges-";

  /** Lies in a table of its own, because it changes often and nobody follows it. */
  static final RowKey LEASE = new RowKey("catkinlift-role", "coordinator");

  /** Written only when the role is taken, so that keeping it does not disturb other writes. */
  static final RowKey CLAIM = new RowKey("catkinlift-role", "claim");

  private DaemonRows() {}
}
