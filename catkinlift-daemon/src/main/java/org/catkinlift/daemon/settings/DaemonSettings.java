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
 * Holds the settings of one daemon, which do not change while it runs.
 *
 * <p>The text form does not show the token.
 *
 * @param host the host that this daemon runs on
 * @param zone its availability zone
 * @param cell the cell that it belongs to
 * @param zones the availability zones of the site
 * @param callerAddress where it listens for callers
 * @param peerAddress where it listens for other daemons
 * @param operatorAddress where it listens for operators
 * @param operatorToken the secret that operators present
 * @param platformAddress where the platform listens
 * @param peers other daemons, needed while the platform cannot be reached
 * @param logging which events are logged
 * @param limits what the daemon holds at most
 * @param shutdownGrace how long a stop waits for running requests
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

  /** Checks that every value is there. */
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
   * Returns a builder. Host, zone, the addresses and the token must be set; the rest has defaults.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns what other daemons need to know about this host.
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
     * @param host the host that this daemon runs on
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder host(HostId host) {
      this.host = host;
      return this;
    }

    /**
     * Sets its availability zone.
     *
     * @param zone its availability zone
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder zone(ZoneName zone) {
      this.zone = zone;
      return this;
    }

    /**
     * Sets the cell that it belongs to.
     *
     * @param cell the cell that it belongs to; the zone's name if not set
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
     * @param zones the availability zones of the site; those of the host and its peers if not set
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder zones(ImmutableSet<ZoneName> zones) {
      this.zones = zones;
      return this;
    }

    /**
     * Sets where it listens for callers.
     *
     * @param callerAddress where it listens for callers
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder callerAddress(NetworkAddress callerAddress) {
      this.callerAddress = callerAddress;
      return this;
    }

    /**
     * Sets where it listens for other daemons.
     *
     * @param peerAddress where it listens for other daemons
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder peerAddress(NetworkAddress peerAddress) {
      this.peerAddress = peerAddress;
      return this;
    }

    /**
     * Sets where it listens for operators.
     *
     * @param operatorAddress where it listens for operators
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder operatorAddress(NetworkAddress operatorAddress) {
      this.operatorAddress = operatorAddress;
      return this;
    }

    /**
     * Sets the secret that operators present.
     *
     * @param operatorToken the secret that operators present
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder operatorToken(OperatorToken operatorToken) {
      this.operatorToken = operatorToken;
      return this;
    }

    /**
     * Sets where the platform listens.
     *
     * @param platformAddress where the platform listens
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder platformAddress(NetworkAddress platformAddress) {
      this.platformAddress = platformAddress;
      return this;
    }

    /**
     * Sets other daemons, needed while the platform cannot be reached.
     *
     * @param peers other daemons, needed while the platform cannot be reached
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder peers(ImmutableList<HostDefinition> peers) {
      this.peers = peers;
      return this;
    }

    /**
     * Sets which events are logged.
     *
     * @param logging which events are logged
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder logging(LoggingSettings logging) {
      this.logging = logging;
      return this;
    }

    /**
     * Sets what the daemon holds at most.
     *
     * @param limits what the daemon holds at most
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder limits(LimitSettings limits) {
      this.limits = limits;
      return this;
    }

    /**
     * Sets how long a stop waits for running requests.
     *
     * @param shutdownGrace how long a stop waits for running requests
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
     * @throws NullPointerException naming a value that has no default and was not set
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
