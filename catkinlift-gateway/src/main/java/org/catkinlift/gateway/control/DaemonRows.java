package org.catkinlift.gateway.control;

import org.catkinlift.gateway.store.RowKey;

/** The store rows in which the daemons keep their own state. */
final class DaemonRows {
  static final String TABLE = "catkinlift";
  static final String MAP_PREFIX = "ranges-";

  /** In a table of its own, because it changes often and no daemon subscribes to it. */
  static final RowKey LEASE = new RowKey("catkinlift-role", "coordinator");

  /**
   * Written only when the role is claimed. Transactions of the coordinator expect its version, so
   * renewals of the lease do not conflict with them.
   */
  static final RowKey CLAIM = new RowKey("catkinlift-role", "claim");

  private DaemonRows() {}
}
