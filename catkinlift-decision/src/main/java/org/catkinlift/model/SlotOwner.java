package org.catkinlift.model;

import java.util.Optional;

/**
 * The owner of a slot.
 *
 * @param owner the upstream; empty while the slot has no owner
 * @param epoch the epoch of this ownership
 */
public record SlotOwner(Optional<UpstreamId> owner, Epoch epoch) {
  /** The state of a slot that never had an owner. */
  public static final SlotOwner NONE = new SlotOwner(Optional.empty(), Epoch.NONE);

  /**
   * Returns the state of an owned slot.
   *
   * @param owner the upstream
   * @param epoch the epoch
   * @return the state
   */
  public static SlotOwner of(UpstreamId owner, Epoch epoch) {
    return new SlotOwner(Optional.of(owner), epoch);
  }
}
