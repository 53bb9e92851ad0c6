package org.catkinlift.daemon.settings;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;

/**
 * The values of a settings document that could be decoded. They can be cross-checked even if other
 * values are missing or invalid.
 */
record ParsedSettings(
    Optional<HostId> host,
    Optional<ZoneName> zone,
    Optional<CellId> cell,
    Optional<ImmutableList<ZoneName>> zones,
    Optional<NetworkAddress> callerAddress,
    Optional<NetworkAddress> peerAddress,
    Optional<NetworkAddress> operatorAddress,
    Optional<OperatorToken> operatorToken,
    Optional<NetworkAddress> platformAddress,
    ImmutableList<HostEntry> peers,
    LoggingSettings logging,
    LimitSettings limits,
    Duration shutdownGrace) {

  /**
   * Creates the definition of a host.
   *
   * @param host the host
   * @param zone its availability zone
   * @param cell its cell; defaults to a cell with the name of the zone
   * @param address its address for other daemons
   * @return the definition; empty if host, zone or address is missing
   */
  static Optional<HostDefinition> combine(
      Optional<HostId> host,
      Optional<ZoneName> zone,
      Optional<CellId> cell,
      Optional<NetworkAddress> address) {
    if (host.isEmpty() || zone.isEmpty() || address.isEmpty()) {
      return Optional.empty();
    }
    CellId cellOrDefault = cell.orElseGet(() -> CellId.of(zone.get().value()));
    return Optional.of(new HostDefinition(host.get(), zone.get(), cellOrDefault, address.get()));
  }

  /**
   * Returns the hosts of the document.
   *
   * @return this host first, then its peers
   */
  ImmutableList<HostEntry> hosts() {
    Stream<HostEntry> self =
        combine(host, zone, cell, peerAddress).map(h -> new HostEntry("", h)).stream();
    return Stream.concat(self, peers.stream()).collect(toImmutableList());
  }

  /**
   * Returns every address of the document.
   *
   * @return the addresses, in the order of the document
   */
  ImmutableList<AddressEntry> allAddresses() {
    return Stream.of(
            addressEntry(SettingsKeys.CALLER_ADDRESS, callerAddress, true),
            addressEntry(SettingsKeys.OPERATOR_ADDRESS, operatorAddress, true),
            reachableAddresses().stream())
        .flatMap(s -> s)
        .collect(toImmutableList());
  }

  /**
   * Returns the addresses that daemons connect to, which must not be wildcards.
   *
   * @return the addresses, in the order of the document
   */
  ImmutableList<AddressEntry> reachableAddresses() {
    return Stream.of(
            addressEntry(SettingsKeys.PEER_ADDRESS, peerAddress, true),
            addressEntry(SettingsKeys.PLATFORM_ADDRESS, platformAddress, false),
            peers.stream()
                .map(p -> new AddressEntry(p.pathOf("peerAddress"), p.host().peerAddress(), false)))
        .flatMap(s -> s)
        .collect(toImmutableList());
  }

  /**
   * Builds the settings.
   *
   * @return the settings
   * @throws java.util.NoSuchElementException if a required value is missing
   */
  DaemonSettings toSettings() {
    var builder =
        DaemonSettings.builder()
            .host(host.orElseThrow())
            .zone(zone.orElseThrow())
            .callerAddress(callerAddress.orElseThrow())
            .peerAddress(peerAddress.orElseThrow())
            .operatorAddress(operatorAddress.orElseThrow())
            .operatorToken(operatorToken.orElseThrow())
            .platformAddress(platformAddress.orElseThrow())
            .peers(peers.stream().map(HostEntry::host).collect(toImmutableList()))
            .logging(logging)
            .limits(limits)
            .shutdownGrace(shutdownGrace);
    cell.ifPresent(builder::cell);
    zones.map(ImmutableSet::copyOf).ifPresent(builder::zones);
    return builder.build();
  }

  private static Stream<AddressEntry> addressEntry(
      SettingsKey<NetworkAddress> key, Optional<NetworkAddress> address, boolean local) {
    return address.map(a -> new AddressEntry(key.path(), a, local)).stream();
  }
}
