package org.catkinlift.model;

import com.google.common.collect.ImmutableList;

/**
 * Records the home cell of each slot of a keyed service.
 *
 * @param service the service
 * @param version the version, from 1; grows with each change
 * @param homes the home cell by slot index
 */
public record HomeMap(ServiceName service, long version, ImmutableList<CellId> homes)
    implements Versioned {

  @Override
  public String name() {
    return "home/" + service;
  }

  @Override
  public Epoch order() {
    return Epoch.of(version, 0);
  }
}
