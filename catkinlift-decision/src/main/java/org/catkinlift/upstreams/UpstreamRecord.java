package org.catkinlift.upstreams;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/**
 * What an upstream states about itself.
 *
 * @param id the upstream
 * @param startedMillis when this life of the upstream began, in milliseconds of its own time of
 *     day; a restart under the same id has another value
 * @param service the service that it belongs to
 * @param address where it takes requests
 * @param zone its availability zone
 * @param concurrencyLimit the requests that it executes at once
 * @param draining whether it is about to leave and must get no new work
 * @param remainingColdTime how much longer it is cold
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
   * Returns a builder without values.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Tells whether another record is of the same life of the same upstream.
   *
   * @param other the other record
   * @return true if neither has restarted since the other
   */
  public boolean isSameIncarnation(UpstreamRecord other) {
    return id.equals(other.id) && startedMillis == other.startedMillis;
  }

  /** Collects the parts of an {@link UpstreamRecord}. */
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

    /** Sets when this life began, in milliseconds. */
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

    /** Sets where it takes requests. */
    @CanIgnoreReturnValue
    public Builder address(NetworkAddress value) {
      address = value;
      return this;
    }

    /** Sets its availability zone. */
    @CanIgnoreReturnValue
    public Builder zone(ZoneName value) {
      zone = value;
      return this;
    }

    /** Sets how many requests it executes at once. */
    @CanIgnoreReturnValue
    public Builder concurrencyLimit(int value) {
      concurrencyLimit = value;
      return this;
    }

    /** Sets whether it is about to leave. */
    @CanIgnoreReturnValue
    public Builder draining(boolean value) {
      draining = value;
      return this;
    }

    /** Sets how much longer it is cold. */
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
