package org.catkinlift.routes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.ServiceName;

/**
 * One version of the operators' configuration.
 *
 * @param version the version; versions only rise
 * @param limits bounds on callers
 * @param routes all routes
 * @param services all services
 */
public record RouteConfiguration(
    long version,
    CallerLimits limits,
    ImmutableList<Route> routes,
    ImmutableMap<ServiceName, ServiceProfile> services) {

  /** Stands for a daemon that knows no configuration yet. */
  public static final RouteConfiguration NONE =
      new RouteConfiguration(0, CallerLimits.DEFAULT, ImmutableList.of(), ImmutableMap.of());

  /**
   * Tells whether this is a configuration of the operators.
   *
   * @return false for {@link #NONE}
   */
  public boolean isKnown() {
    return version > 0;
  }
}
