package org.catkinlift.model;

import com.google.common.collect.ImmutableMap;

/**
 * Maps each upstream of a cell to the daemon that dispatches requests to it.
 *
 * <p>Used for routing only. A dispatcher needs a current {@link DispatchLease} to send a request.
 *
 * @param cell the cell
 * @param version the version among the maps of this cell; compared by coordinator term first
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
