package org.catkinlift.gateway.store;

/**
 * The newest row version that a daemon has observed of each source. Versions of different eras are
 * not comparable, because a store that is restored from an older copy issues them again.
 *
 * @param era the highest era of the store that the daemon has seen; 0 if the store states none
 * @param operators the version of the operators' rows
 * @param upstreams the version of the upstreams' rows
 * @param daemons the version of the daemons' own rows
 */
public record ObservedVersions(long era, long operators, long upstreams, long daemons) {

  /** Creates the versions of a store that states no era. */
  public ObservedVersions(long operators, long upstreams, long daemons) {
    this(0, operators, upstreams, daemons);
  }

  /**
   * Returns these versions in another era.
   *
   * @param other the other era
   * @return the versions
   */
  public ObservedVersions inEra(long other) {
    return new ObservedVersions(other, operators, upstreams, daemons);
  }
}
