package org.catkinlift.gateway.store;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.routes.RouteConfiguration;
import org.catkinlift.upstreams.UpstreamRecord;

/** What the store tells about operators, upstreams and the daemon's own rows. */
public sealed interface StoreUpdate {

  /**
   * The operators' newest configuration.
   *
   * @param configuration the configuration
   */
  record ConfigurationChanged(RouteConfiguration configuration) implements StoreUpdate {}

  /**
   * The availability zones whose upstreams must get no requests.
   *
   * @param zones the zones
   */
  record OutOfServiceZonesChanged(ImmutableSet<ZoneName> zones) implements StoreUpdate {}

  /**
   * All upstreams.
   *
   * @param upstreams the upstreams by name
   */
  record UpstreamsChanged(ImmutableMap<UpstreamId, UpstreamRecord> upstreams)
      implements StoreUpdate {}

  /**
   * A row of the followed table.
   *
   * @param key its key
   * @param row the row; {@link StoredRow#MISSING} if it was removed
   */
  record DaemonRowChanged(String key, StoredRow row) implements StoreUpdate {}

  /** All sources were read for the first time. */
  record InitialReadCompleted() implements StoreUpdate {}

  /**
   * The store answers again or no longer answers.
   *
   * @param reachable whether it answers
   * @param reason what the last call met
   */
  record ReachabilityChanged(boolean reachable, String reason) implements StoreUpdate {}
}
