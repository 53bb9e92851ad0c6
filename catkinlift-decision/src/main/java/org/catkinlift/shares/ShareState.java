package org.catkinlift.shares;

/**
 * Names the state of a host's shares. A host that holds none has {@link #NONE}.
 *
 * @param issuer the number that the coordinator drew when it took the role
 * @param sequence the number of the last grant that the host applied
 */
public record ShareState(long issuer, long sequence) {
  /** The state of a host without shares. */
  public static final ShareState NONE = new ShareState(0, 0);
}
