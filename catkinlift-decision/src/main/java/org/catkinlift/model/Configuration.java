package org.catkinlift.model;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.CanIgnoreReturnValue;

/**
 * One version of the configuration that operators have accepted.
 *
 * @param version the version; 0 before the first change
 * @param services the services by name
 * @param drainedZones the availability zones that operators have taken out of service
 * @param lostZones the availability zones that operators have declared lost
 * @param retiringUpstreams the upstreams that receive no new work
 * @param retiringHosts the hosts whose daemons hand over their roles
 */
public record Configuration(
    long version,
    ImmutableMap<ServiceName, ServiceDefinition> services,
    ImmutableSet<ZoneName> drainedZones,
    ImmutableSet<ZoneName> lostZones,
    ImmutableSet<UpstreamId> retiringUpstreams,
    ImmutableSet<HostId> retiringHosts)
    implements Versioned {
  /** The name of the platform row that stores the newest configuration. */
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
   * Returns whether this configuration allows new work for an upstream.
   *
   * @param upstream the upstream
   * @return false if the upstream is retiring or its availability zone is drained or lost
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
     * Sets the lost availability zones.
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
