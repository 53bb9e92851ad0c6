package org.catkinlift.upstreams;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/**
 * The registration record that an upstream publishes about itself.
 *
 * @param id the upstream
 * @param startedMillis the start time of this incarnation of the upstream, in milliseconds of its
 *     own clock; a restart under the same id has a different value
 * @param service the service that it belongs to
 * @param address the address at which it accepts requests
 * @param zone its availability zone
 * @param concurrencyLimit the number of requests that it executes at once
 * @param draining whether it is about to leave and must receive no new work
 * @param remainingColdTime how much longer the upstream stays cold
 */
public record UpstreamRecord(
    UpstreamId id,
    long startedMillis,
    ServiceName service,
    NetworkAddress address,
    ZoneName zone,
    int concurrencyLimit,
    boolean draining,
    Duration remainingColdTime) {

  /**
   * Returns a new builder.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns whether another record belongs to the same incarnation of the same upstream.
   *
   * @param other the other record
   * @return true if the upstream did not restart between the two records
   */
  public boolean isSameIncarnation(UpstreamRecord other) {
    return id.equals(other.id) && startedMillis == other.startedMillis;
  }

  /** Builds an {@link UpstreamRecord}. */
  public static final class Builder {
    private UpstreamId id;
    private long startedMillis;
    private ServiceName service;
    private NetworkAddress address;
    private ZoneName zone;
    private int concurrencyLimit = 1;
    private boolean draining;
    private Duration remainingColdTime = Duration.ZERO;

    private Builder() {}

    /** Sets the upstream. */
    @CanIgnoreReturnValue
    public Builder id(UpstreamId value) {
      id = value;
      return this;
    }

    /** Sets the start time of this incarnation, in milliseconds. */
    @CanIgnoreReturnValue
    public Builder startedMillis(long value) {
      startedMillis = value;
      return this;
    }

    /** Sets the service. */
    @CanIgnoreReturnValue
    public Builder service(ServiceName value) {
      service = value;
      return this;
    }

    /** Sets the address at which the upstream accepts requests. */
    @CanIgnoreReturnValue
    public Builder address(NetworkAddress value) {
      address = value;
      return this;
    }

    /** Sets the availability zone. */
    @CanIgnoreReturnValue
    public Builder zone(ZoneName value) {
      zone = value;
      return this;
    }

    /** Sets the number of requests that the upstream executes at once. */
    @CanIgnoreReturnValue
    public Builder concurrencyLimit(int value) {
      concurrencyLimit = value;
      return this;
    }

    /** Sets whether the upstream is about to leave. */
    @CanIgnoreReturnValue
    public Builder draining(boolean value) {
      draining = value;
      return this;
    }

    /** Sets how much longer the upstream stays cold. */
    @CanIgnoreReturnValue
    public Builder remainingColdTime(Duration value) {
      remainingColdTime = value;
      return this;
    }

    /**
     * Returns the record.
     *
     * @return the record
     */
    public UpstreamRecord build() {
      return new UpstreamRecord(
          id, startedMillis, service, address, zone, concurrencyLimit, draining, remainingColdTime);
    }
  }
}
