package org.catkinlift.gateway.store;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.routes.RouteConfiguration;
import org.catkinlift.upstreams.UpstreamRecord;

/** An update of the operators' rows, the upstreams, the daemons' own rows or the store itself. */
public sealed interface StoreUpdate {

  /**
   * The operators published a configuration.
   *
   * @param configuration the configuration
   */
  record ConfigurationChanged(RouteConfiguration configuration) implements StoreUpdate {}

  /**
   * Operators took availability zones out of service or returned them to service.
   *
   * @param zones the availability zones whose upstreams must not receive requests
   */
  record OutOfServiceZonesChanged(ImmutableSet<ZoneName> zones) implements StoreUpdate {}

  /**
   * The list of upstreams changed.
   *
   * @param upstreams all listed upstreams by id
   */
  record UpstreamsChanged(ImmutableMap<UpstreamId, UpstreamRecord> upstreams)
      implements StoreUpdate {}

  /**
   * A row of the subscribed table of the daemons changed.
   *
   * @param key its key
   * @param row the row; {@link StoredRow#MISSING} if it was removed
   */
  record DaemonRowChanged(String key, StoredRow row) implements StoreUpdate {}

  /**
   * An era of the store was seen for the first time. If the store was restored, results of calls
   * that were sent before this update say nothing about the present rows.
   *
   * @param era the era
   * @param isRestore whether the store was restored from an older copy since this daemon's first
   *     contact with it; false for the era of that contact
   */
  record EraChanged(long era, boolean isRestore) implements StoreUpdate {}

  /** All sources have been read for the first time. */
  record InitialReadCompleted() implements StoreUpdate {}

  /** The store responded to a call, whatever the result. */
  record CallAnswered() implements StoreUpdate {}

  /**
   * A call was refused or got no response.
   *
   * @param reason the cause of the failure
   */
  record CallFailed(String reason) implements StoreUpdate {}
}
