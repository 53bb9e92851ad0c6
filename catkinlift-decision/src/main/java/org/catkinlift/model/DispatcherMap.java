package org.catkinlift.model;

import com.google.common.collect.ImmutableMap;

/**
 * Records which daemon dispatches to each upstream of a cell.
 *
 * <p>It only guides routing. A dispatcher needs a current {@link DispatchLease} to send a request.
 *
 * @param cell the cell
 * @param version orders the maps of this cell; the term of the coordinator first
 * @param dispatchers the dispatcher of each upstream
 */
public record DispatcherMap(
    CellId cell, Epoch version, ImmutableMap<UpstreamId, HostId> dispatchers) implements Versioned {

  @Override
  public String name() {
    return "dispatchers/" + cell;
  }

  @Override
  public Epoch versionEpoch() {
    return version;
  }
}
