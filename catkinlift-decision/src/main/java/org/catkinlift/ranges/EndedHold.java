package org.catkinlift.ranges;

import java.time.Duration;

/**
 * A previous holder of keys that a coordinator believes to hold them no longer.
 *
 * @param holder the previous holder
 * @param cause why it no longer holds them
 */
public record EndedHold(Holder holder, Cause cause) {

  /** Why a previous holder no longer holds keys. */
  public sealed interface Cause {

    /** The holder confirmed the release. */
    record Released() implements Cause {}

    /**
     * The last grant that may have reached the holder has expired by its slowest clock.
     *
     * @param ago the time since the expiry
     */
    record Expired(Duration ago) implements Cause {}

    /**
     * This coordinator knew of no hold when the keys were assigned: the holder had no grant, or had
     * released the keys under an earlier fencing token.
     */
    record NoKnownHold() implements Cause {}
  }
}
