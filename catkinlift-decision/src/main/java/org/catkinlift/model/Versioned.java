package org.catkinlift.model;

/**
 * A value that spreads among daemons; of two values with one name the later version counts.
 *
 * <p>Each value is written by one owner: the platform's conditional writes or the coordinator of a
 * cell order its versions.
 */
public sealed interface Versioned
    permits Configuration, HomeMap, Assignment, DispatcherMap, CellLoad {

  /**
   * Returns the name, the same as that of the platform row which keeps the value.
   *
   * @return the name
   */
  String name();

  /**
   * Returns the place of this value among those of its name.
   *
   * @return the version
   */
  Epoch versionEpoch();
}
