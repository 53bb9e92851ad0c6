package org.catkinlift.routes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.ServiceName;

/**
 * One version of the operators' configuration.
 *
 * @param version the version, which only increases
 * @param limits the limits for callers
 * @param routes all routes
 * @param services all services
 */
public record RouteConfiguration(
    long version,
    CallerLimits limits,
    ImmutableList<Route> routes,
    ImmutableMap<ServiceName, ServiceProfile> services) {

  /** The configuration of a daemon that has not received one yet. */
  public static final RouteConfiguration NONE =
      new RouteConfiguration(0, CallerLimits.DEFAULT, ImmutableList.of(), ImmutableMap.of());

  /**
   * Returns whether this configuration comes from the operators.
   *
   * @return false for {@link #NONE}
   */
  public boolean isKnown() {
    return version > 0;
  }
}
