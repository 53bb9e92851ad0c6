package org.catkinlift.gateway.store;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.routes.RouteConfiguration;
import org.catkinlift.upstreams.UpstreamRecord;

/** What the store tells about operators, upstreams and the daemon's own rows. */
public sealed interface StoreNews {

  /**
   * The operators' newest configuration.
   *
   * @param configuration the configuration
   */
  record ConfigurationChanged(RouteConfiguration configuration) implements StoreNews {}

  /**
   * The availability zones whose upstreams must get no requests.
   *
   * @param zones the zones
   */
  record EvacuationsChanged(ImmutableSet<ZoneName> zones) implements StoreNews {}

  /**
   * All upstreams.
   *
   * @param upstreams the upstreams by name
   */
  record UpstreamsChanged(ImmutableMap<UpstreamId, UpstreamRecord> upstreams)
      implements StoreNews {}

  /**
   * A row of the followed table.
   *
   * @param key its key
   * @param row the row; {@link StoredRow#MISSING} if it was removed
   */
  record OwnRowChanged(String key, StoredRow row) implements StoreNews {}

  /** All sources were read for the first time. */
  record FirstReadDone() implements StoreNews {}

  /**
   * The store answers again or no longer answers.
   *
   * @param answers whether it answers
   * @param reason what the last call met
   */
  record Reachability(boolean answers, String reason) implements StoreNews {}
}
