package org.catkinlift.routes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.ServiceName;
import org.catkinlift.tenants.TenantRegistry;

/**
 * One version of the operators' configuration.
 *
 * @param version the version, which only increases
 * @param limits the limits for callers
 * @param routes all routes
 * @param services all services
 * @param tenants the tenants and their API keys
 */
public record RouteConfiguration(
    long version,
    CallerLimits limits,
    ImmutableList<Route> routes,
    ImmutableMap<ServiceName, ServiceProfile> services,
    TenantRegistry tenants) {

  /** The configuration of a daemon that has not received one yet. */
  public static final RouteConfiguration NONE =
      new RouteConfiguration(0, CallerLimits.DEFAULT, ImmutableList.of(), ImmutableMap.of());

  /**
   * Creates a configuration without tenants.
   *
   * @param version the version, which only increases
   * @param limits the limits for callers
   * @param routes all routes
   * @param services all services
   */
  public RouteConfiguration(
      long version,
      CallerLimits limits,
      ImmutableList<Route> routes,
      ImmutableMap<ServiceName, ServiceProfile> services) {
    this(version, limits, routes, services, TenantRegistry.NONE);
  }

  /**
   * Returns whether this configuration comes from the operators.
   *
   * @return false for {@link #NONE}
   */
  public boolean isKnown() {
    return version > 0;
  }
}
