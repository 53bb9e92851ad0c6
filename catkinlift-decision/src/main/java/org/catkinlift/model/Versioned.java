package org.catkinlift.model;

/**
 * A value that is replicated among daemons; of two values with the same name, the later version
 * wins.
 *
 * <p>The versions of a value are totally ordered: either by the platform's conditional writes or by
 * the coordinator of a cell, its only writer.
 */
public sealed interface Versioned
    permits Configuration, HomeMap, Assignment, DispatcherMap, CellLoad {

  /**
   * Returns the name, which is also the name of the platform row that stores the value.
   *
   * @return the name
   */
  String name();

  /**
   * Returns the version, comparable among the values with this name.
   *
   * @return the version
   */
  Epoch versionEpoch();
}
