package org.catkinlift.bench;

import java.util.Locale;

/** The current size of a user's deployment. */
public enum Site {
  /**
   * Tavua Bindery and Diary Supply: three availability zones, 30 keyed upstreams with 4 execution
   * slots each.
   */
  TAVUA(3, 30, 4, 130, 6),
  /**
   * Zarqa Valley Municipal Utility: four availability zones, 30 keyed upstreams with 2 execution
   * slots each.
   */
  ZARQA(4, 30, 2, 40, 8);

  private final int zones;
  private final int keyedUpstreams;
  private final int concurrencyLimit;
  private final int connectionLimit;
  private final int sharedUpstreams;

  Site(
      int zones,
      int keyedUpstreams,
      int concurrencyLimit,
      int connectionLimit,
      int sharedUpstreams) {
    this.zones = zones;
    this.keyedUpstreams = keyedUpstreams;
    this.concurrencyLimit = concurrencyLimit;
    this.connectionLimit = connectionLimit;
    this.sharedUpstreams = sharedUpstreams;
  }

  /**
   * Returns the name used in measurements and on the command line.
   *
   * @return the name
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the number of availability zones.
   *
   * @return the number
   */
  public int zones() {
    return zones;
  }

  /**
   * Returns the number of upstreams of the keyed service.
   *
   * @return the number
   */
  public int keyedUpstreams() {
    return keyedUpstreams;
  }

  /**
   * Returns the number of requests that an upstream executes concurrently.
   *
   * @return the number
   */
  public int concurrencyLimit() {
    return concurrencyLimit;
  }

  /**
   * Returns the maximum number of connections that an upstream accepts.
   *
   * @return the number
   */
  public int connectionLimit() {
    return connectionLimit;
  }

  /**
   * Returns the number of upstreams of the shared service, whose requests are not partitioned by
   * key.
   *
   * @return the number
   */
  public int sharedUpstreams() {
    return sharedUpstreams;
  }
}
