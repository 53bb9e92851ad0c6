package org.catkinlift.model;

import com.google.common.collect.ImmutableList;

/**
 * Maps each slot of a keyed service to its home cell.
 *
 * @param service the service
 * @param version the version, from 1; incremented with each change
 * @param homes the home cell by slot index
 */
public record HomeMap(ServiceName service, long version, ImmutableList<CellId> homes)
    implements Versioned {
  /** The prefix of the names of all home maps. */
  public static final String PREFIX = "home/";

  /**
   * Returns the name of the home map of a service.
   *
   * @param service the service
   * @return the name
   */
  public static String nameOf(ServiceName service) {
    return PREFIX + service;
  }

  @Override
  public String name() {
    return nameOf(service);
  }

  @Override
  public Epoch versionEpoch() {
    return Epoch.of(version, 0);
  }
}
