package org.catkinlift.model;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.CanIgnoreReturnValue;

/**
 * Holds everything that operators have accepted, at one version.
 *
 * @param version the version; 0 before the first change
 * @param services the services by name
 * @param drainedZones the availability zones that operators took out
 * @param lostZones the availability zones that operators declared lost
 * @param retiringUpstreams the upstreams that get no new work
 * @param retiringHosts the hosts whose daemons hand over their duties
 */
public record Configuration(
    long version,
    ImmutableMap<ServiceName, ServiceDefinition> services,
    ImmutableSet<ZoneName> drainedZones,
    ImmutableSet<ZoneName> lostZones,
    ImmutableSet<UpstreamId> retiringUpstreams,
    ImmutableSet<HostId> retiringHosts)
    implements Versioned {
  /** The name of the platform row that keeps the newest configuration. */
  public static final String NAME = "config/head";

  /** The configuration before the first change. */
  public static final Configuration EMPTY = builder().build();

  /**
   * Returns a builder with empty collections and version 0.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns a builder that starts from this configuration.
   *
   * @return the builder
   */
  public Builder toBuilder() {
    return new Builder()
        .version(version)
        .services(services)
        .drainedZones(drainedZones)
        .lostZones(lostZones)
        .retiringUpstreams(retiringUpstreams)
        .retiringHosts(retiringHosts);
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public Epoch versionEpoch() {
    return Epoch.of(version, 0);
  }

  /**
   * Tells whether an upstream may get new work as far as operators decide it.
   *
   * @param upstream the upstream
   * @return false if it retires or its availability zone is drained or lost
   */
  public boolean admits(UpstreamDefinition upstream) {
    return !retiringUpstreams.contains(upstream.id())
        && !drainedZones.contains(upstream.zone())
        && !lostZones.contains(upstream.zone());
  }

  /** Builds a {@link Configuration}. */
  public static final class Builder {
    private long version;
    private ImmutableMap<ServiceName, ServiceDefinition> services = ImmutableMap.of();
    private ImmutableSet<ZoneName> drainedZones = ImmutableSet.of();
    private ImmutableSet<ZoneName> lostZones = ImmutableSet.of();
    private ImmutableSet<UpstreamId> retiringUpstreams = ImmutableSet.of();
    private ImmutableSet<HostId> retiringHosts = ImmutableSet.of();

    private Builder() {}

    /**
     * Sets the version.
     *
     * @param version the version, not negative
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder version(long version) {
      this.version = version;
      return this;
    }

    /**
     * Sets the services.
     *
     * @param services the services by name
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder services(ImmutableMap<ServiceName, ServiceDefinition> services) {
      this.services = services;
      return this;
    }

    /**
     * Sets the drained availability zones.
     *
     * @param drainedZones the availability zones
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder drainedZones(ImmutableSet<ZoneName> drainedZones) {
      this.drainedZones = drainedZones;
      return this;
    }

    /**
     * Sets the availability zones that were declared lost.
     *
     * @param lostZones the availability zones
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder lostZones(ImmutableSet<ZoneName> lostZones) {
      this.lostZones = lostZones;
      return this;
    }

    /**
     * Sets the retiring upstreams.
     *
     * @param retiringUpstreams the upstreams
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder retiringUpstreams(ImmutableSet<UpstreamId> retiringUpstreams) {
      this.retiringUpstreams = retiringUpstreams;
      return this;
    }

    /**
     * Sets the retiring hosts.
     *
     * @param retiringHosts the hosts
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder retiringHosts(ImmutableSet<HostId> retiringHosts) {
      this.retiringHosts = retiringHosts;
      return this;
    }

    /**
     * Builds the configuration.
     *
     * @return the configuration
     */
    public Configuration build() {
      return new Configuration(
          version, services, drainedZones, lostZones, retiringUpstreams, retiringHosts);
    }
  }
}
