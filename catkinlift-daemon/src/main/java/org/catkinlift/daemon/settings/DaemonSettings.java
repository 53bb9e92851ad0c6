package org.catkinlift.daemon.settings;

import static com.google.common.collect.ImmutableSet.toImmutableSet;
import static java.util.Objects.requireNonNull;
import static java.util.Objects.requireNonNullElse;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.util.stream.Stream;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;

/**
 * The settings of one daemon, which do not change while it runs.
 *
 * <p>{@code toString} does not reveal the token.
 *
 * @param host the host that this daemon runs on
 * @param zone the availability zone of the host
 * @param cell the cell that the host belongs to
 * @param zones the availability zones of the site
 * @param callerAddress the listen address for callers
 * @param peerAddress the listen address for other daemons
 * @param operatorAddress the listen address for operators
 * @param operatorToken the secret that authenticates operators
 * @param platformAddress the address of the platform
 * @param peers other daemons, for use while the platform is unreachable
 * @param logging the logging settings
 * @param limits the resource limits and time-outs
 * @param shutdownGrace how long a shutdown waits for running requests
 */
public record DaemonSettings(
    HostId host,
    ZoneName zone,
    CellId cell,
    ImmutableSet<ZoneName> zones,
    NetworkAddress callerAddress,
    NetworkAddress peerAddress,
    NetworkAddress operatorAddress,
    OperatorToken operatorToken,
    NetworkAddress platformAddress,
    ImmutableList<HostDefinition> peers,
    LoggingSettings logging,
    LimitSettings limits,
    Duration shutdownGrace) {

  /** Checks that no value is null. */
  public DaemonSettings {
    requireNonNull(host, "host");
    requireNonNull(zone, "zone");
    requireNonNull(cell, "cell");
    requireNonNull(zones, "zones");
    requireNonNull(callerAddress, "callerAddress");
    requireNonNull(peerAddress, "peerAddress");
    requireNonNull(operatorAddress, "operatorAddress");
    requireNonNull(operatorToken, "operatorToken");
    requireNonNull(platformAddress, "platformAddress");
    requireNonNull(peers, "peers");
    requireNonNull(logging, "logging");
    requireNonNull(limits, "limits");
    requireNonNull(shutdownGrace, "shutdownGrace");
  }

  /**
   * Returns a builder. Host, zone, addresses and token are required; the other values have
   * defaults.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the definition of this host for other daemons.
   *
   * @return the definition
   */
  public HostDefinition self() {
    return new HostDefinition(host, zone, cell, peerAddress);
  }

  /** Builds {@link DaemonSettings}. */
  public static final class Builder {
    private HostId host;
    private ZoneName zone;
    private CellId cell;
    private ImmutableSet<ZoneName> zones;
    private NetworkAddress callerAddress;
    private NetworkAddress peerAddress;
    private NetworkAddress operatorAddress;
    private OperatorToken operatorToken;
    private NetworkAddress platformAddress;
    private ImmutableList<HostDefinition> peers = ImmutableList.of();
    private LoggingSettings logging = LoggingSettings.DEFAULTS;
    private LimitSettings limits = LimitSettings.DEFAULTS;
    private Duration shutdownGrace = SettingsKeys.SHUTDOWN_GRACE.defaultValue();

    private Builder() {}

    /**
     * Sets the host that this daemon runs on.
     *
     * @param host the host
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder host(HostId host) {
      this.host = host;
      return this;
    }

    /**
     * Sets the availability zone of the host.
     *
     * @param zone the availability zone
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder zone(ZoneName zone) {
      this.zone = zone;
      return this;
    }

    /**
     * Sets the cell that the host belongs to.
     *
     * @param cell the cell; defaults to a cell with the name of the zone
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder cell(CellId cell) {
      this.cell = cell;
      return this;
    }

    /**
     * Sets the availability zones of the site.
     *
     * @param zones the availability zones; defaults to those of the host and its peers
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder zones(ImmutableSet<ZoneName> zones) {
      this.zones = zones;
      return this;
    }

    /**
     * Sets the listen address for callers.
     *
     * @param callerAddress the address
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder callerAddress(NetworkAddress callerAddress) {
      this.callerAddress = callerAddress;
      return this;
    }

    /**
     * Sets the listen address for other daemons.
     *
     * @param peerAddress the address
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder peerAddress(NetworkAddress peerAddress) {
      this.peerAddress = peerAddress;
      return this;
    }

    /**
     * Sets the listen address for operators.
     *
     * @param operatorAddress the address
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder operatorAddress(NetworkAddress operatorAddress) {
      this.operatorAddress = operatorAddress;
      return this;
    }

    /**
     * Sets the secret that authenticates operators.
     *
     * @param operatorToken the token
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder operatorToken(OperatorToken operatorToken) {
      this.operatorToken = operatorToken;
      return this;
    }

    /**
     * Sets the address of the platform.
     *
     * @param platformAddress the address
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder platformAddress(NetworkAddress platformAddress) {
      this.platformAddress = platformAddress;
      return this;
    }

    /**
     * Sets the other daemons for use while the platform is unreachable; none by default.
     *
     * @param peers the hosts of the other daemons
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder peers(ImmutableList<HostDefinition> peers) {
      this.peers = peers;
      return this;
    }

    /**
     * Sets the logging settings.
     *
     * @param logging the settings
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder logging(LoggingSettings logging) {
      this.logging = logging;
      return this;
    }

    /**
     * Sets the resource limits and time-outs.
     *
     * @param limits the limits
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder limits(LimitSettings limits) {
      this.limits = limits;
      return this;
    }

    /**
     * Sets how long a shutdown waits for running requests.
     *
     * @param shutdownGrace the maximum waiting time
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder shutdownGrace(Duration shutdownGrace) {
      this.shutdownGrace = shutdownGrace;
      return this;
    }

    /**
     * Builds the settings.
     *
     * @return the settings
     * @throws NullPointerException if a required value is not set; the message names it
     */
    public DaemonSettings build() {
      requireNonNull(zone, "zone");
      return new DaemonSettings(
          host,
          zone,
          requireNonNullElse(cell, CellId.of(zone.value())),
          requireNonNullElse(zones, zonesOfHosts()),
          callerAddress,
          peerAddress,
          operatorAddress,
          operatorToken,
          platformAddress,
          peers,
          logging,
          limits,
          shutdownGrace);
    }

    private ImmutableSet<ZoneName> zonesOfHosts() {
      return Stream.concat(Stream.of(zone), peers.stream().map(HostDefinition::zone))
          .collect(toImmutableSet());
    }
  }
}
