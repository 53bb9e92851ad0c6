package org.catkinlift.ownership;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Optional;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.ControlPart;
import org.catkinlift.control.MembershipView;
import org.catkinlift.control.OwnershipView;
import org.catkinlift.control.VersionStore;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/**
 * Decides who coordinates this daemon's cell and, as the coordinator, who owns its slots and who
 * dispatches to its upstreams.
 *
 * <p>Control thread only.
 */
public final class CellControl implements ControlPart, OwnershipView {

  private CellControl(Builder builder) {
    requireNonNull(builder.self, "self");
    requireNonNull(builder.store, "store");
    requireNonNull(builder.members, "members");
    requireNonNull(builder.calls, "calls");
  }

  /**
   * Returns a builder with default timings.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public ImmutableList<ControlAction> handle(ControlEvent event, long nowNanos) {
    return ImmutableList.of();
  }

  @Override
  public Optional<HostId> coordinator() {
    return Optional.empty();
  }

  @Override
  public boolean hasAuthority(long nowNanos) {
    return false;
  }

  @Override
  public ImmutableList<DispatchLease> heldLeases(long nowNanos) {
    return ImmutableList.of();
  }

  /** Builds a {@link CellControl}. */
  public static final class Builder {
    HostDefinition self;
    VersionStore store;
    MembershipView members;
    CallNumbers calls;
    OwnershipTimings timings = OwnershipTimings.defaults();
    String run = "";

    private Builder() {}

    /**
     * Sets this daemon's own definition.
     *
     * @param self the definition
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder self(HostDefinition self) {
      this.self = self;
      return this;
    }

    /**
     * Sets the store that all parts of the control thread share.
     *
     * @param store the store
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder store(VersionStore store) {
      this.store = store;
      return this;
    }

    /**
     * Sets the view of the known daemons.
     *
     * @param members the view
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder members(MembershipView members) {
      this.members = members;
      return this;
    }

    /**
     * Sets the source of call numbers that all parts of the control thread share.
     *
     * @param calls the source
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder calls(CallNumbers calls) {
      this.calls = calls;
      return this;
    }

    /**
     * Sets the times of leases and promises; {@link OwnershipTimings#defaults()} if not set.
     *
     * @param timings the times
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder timings(OwnershipTimings timings) {
      this.timings = timings;
      return this;
    }

    /**
     * Names this run of the daemon's process, so that a write of an earlier run is not taken for
     * one of this run. A random name is best.
     *
     * @param run the name
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder run(String run) {
      this.run = run;
      return this;
    }

    /**
     * Builds the part.
     *
     * @return the part
     */
    public CellControl build() {
      return new CellControl(this);
    }
  }
}
