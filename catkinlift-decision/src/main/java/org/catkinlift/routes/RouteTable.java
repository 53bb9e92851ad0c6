package org.catkinlift.routes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: the one with the longest matching path prefix among the routes of
 * its host.
 */
public final class RouteTable {
  private final ImmutableMap<String, HostRoutes> hosts;

  private RouteTable(ImmutableMap<String, HostRoutes> hosts) {
    this.hosts = hosts;
  }

  /** The routes of one host, by prefix, with the lengths of all prefixes, longest first. */
  private record HostRoutes(ImmutableMap<String, Route> byPrefix, ImmutableList<Integer> lengths) {}

  /**
   * Returns a table of routes.
   *
   * @param routes the routes
   * @return the table
   */
  public static RouteTable of(ImmutableList<Route> routes) {
    Map<String, Map<String, Route>> grouped = new LinkedHashMap<>();
    for (Route route : routes) {
      grouped.computeIfAbsent(route.host(), h -> new HashMap<>()).put(route.prefix(), route);
    }
    ImmutableMap.Builder<String, HostRoutes> hosts = ImmutableMap.builder();
    grouped.forEach((host, byPrefix) -> hosts.put(host, hostRoutes(byPrefix)));
    return new RouteTable(hosts.buildOrThrow());
  }

  private static HostRoutes hostRoutes(Map<String, Route> byPrefix) {
    List<Integer> lengths = new ArrayList<>();
    for (String prefix : byPrefix.keySet()) {
      if (!lengths.contains(prefix.length())) {
        lengths.add(prefix.length());
      }
    }
    lengths.sort(Comparator.reverseOrder());
    return new HostRoutes(ImmutableMap.copyOf(byPrefix), ImmutableList.copyOf(lengths));
  }

  /**
   * Finds the route of a request.
   *
   * @param host the value of the {@code Host} header
   * @param path the path without its query
   * @return the route, or empty if none matches
   */
  public Optional<Route> find(String host, String path) {
    HostRoutes routes = hosts.get(host);
    if (routes == null) {
      return Optional.empty();
    }
    for (int length : routes.lengths()) {
      if (length <= path.length()) {
        Route route = routes.byPrefix().get(path.substring(0, length));
        if (route != null) {
          return Optional.of(route);
        }
      }
    }
    return Optional.empty();
  }
}
