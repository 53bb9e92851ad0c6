package org.catkinlift.daemon.settings;

import org.catkinlift.model.HostDefinition;

/**
 * A host that a settings document names, with the place for errors about it.
 *
 * @param pathPrefix the path prefix of its keys; empty for the host of the daemon itself
 * @param host the host
 */
record HostEntry(String pathPrefix, HostDefinition host) {

  /**
   * Returns the path of one of its keys.
   *
   * @param key the key
   * @return the path
   */
  String pathOf(String key) {
    return pathPrefix + key;
  }
}
