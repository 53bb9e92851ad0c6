package org.catkinlift.daemon.settings;

import org.catkinlift.model.HostDefinition;

/**
 * A host in a settings document, with its path for errors.
 *
 * @param pathPrefix the path prefix of the keys of the host; empty for the host of the daemon
 * @param host the host
 */
record HostEntry(String pathPrefix, HostDefinition host) {

  /**
   * Returns the path of a key of this host.
   *
   * @param key the key
   * @return the path
   */
  String pathOf(String key) {
    return pathPrefix + key;
  }
}
