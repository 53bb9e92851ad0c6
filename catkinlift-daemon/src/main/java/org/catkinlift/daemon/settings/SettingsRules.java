package org.catkinlift.daemon.settings;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ZoneName;

/** Checks that the values of a settings document are consistent with each other. */
final class SettingsRules {
  private final JsonErrors errors;

  SettingsRules(JsonErrors errors) {
    this.errors = errors;
  }

  /**
   * Reports addresses that overlap with an earlier one.
   *
   * @param addresses the addresses of the document
   */
  void checkOverlaps(ImmutableList<AddressEntry> addresses) {
    for (int i = 0; i < addresses.size(); i++) {
      AddressEntry later = addresses.get(i);
      addresses.subList(0, i).stream()
          .filter(later::overlaps)
          .findFirst()
          .ifPresent(
              first ->
                  errors.add(
                      later.path(),
                      later.address(),
                      "address that does not overlap with " + first.path()));
    }
  }

  /**
   * Reports wildcard addresses, to which other hosts cannot connect.
   *
   * @param addresses the addresses that daemons connect to
   */
  void checkReachable(ImmutableList<AddressEntry> addresses) {
    addresses.stream()
        .filter(AddressEntry::isWildcard)
        .forEach(
            a -> errors.add(a.path(), a.address(), "IP number that other hosts can connect to"));
  }

  /**
   * Reports duplicate hosts.
   *
   * @param hosts this host first, then its peers
   */
  void checkUniqueHosts(ImmutableList<HostEntry> hosts) {
    Set<HostId> seen = new HashSet<>();
    for (HostEntry entry : hosts) {
      if (!seen.add(entry.host().id())) {
        errors.add(entry.pathOf("host"), entry.host().id(), "host that is not named elsewhere");
      }
    }
  }

  /**
   * Reports cells that span two availability zones.
   *
   * @param hosts this host first, then its peers
   */
  void checkCells(ImmutableList<HostEntry> hosts) {
    Map<CellId, ZoneName> zones = new HashMap<>();
    for (HostEntry entry : hosts) {
      ZoneName zone = zones.computeIfAbsent(entry.host().cell(), c -> entry.host().zone());
      if (!zone.equals(entry.host().zone())) {
        errors.add(
            entry.pathOf("cell"),
            entry.host().cell(),
            "cell of zone " + entry.host().zone() + "; another host has it in zone " + zone);
      }
    }
  }

  /**
   * Reports availability zones without a host and hosts outside the listed availability zones.
   *
   * @param zones the availability zones of the site
   * @param hosts this host first, then its peers
   */
  void checkZones(ImmutableList<ZoneName> zones, ImmutableList<HostEntry> hosts) {
    ImmutableSet<ZoneName> hostZones =
        hosts.stream().map(h -> h.host().zone()).collect(toImmutableSet());
    for (int i = 0; i < zones.size(); i++) {
      if (!hostZones.contains(zones.get(i))) {
        errors.add("zones[" + i + ']', zones.get(i), "zone that the host or a peer names");
      }
    }
    hosts.stream()
        .filter(h -> !zones.contains(h.host().zone()))
        .forEach(
            h -> errors.add(h.pathOf("zone"), h.host().zone(), "zone that is listed in zones"));
  }
}
