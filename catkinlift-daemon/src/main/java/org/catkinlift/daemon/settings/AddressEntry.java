package org.catkinlift.daemon.settings;

import com.google.common.net.InetAddresses;
import java.net.InetAddress;
import org.catkinlift.model.NetworkAddress;

/**
 * An address in a settings document, with its path for errors.
 *
 * @param path the path of the address
 * @param address the address
 * @param local whether this daemon listens on it
 */
record AddressEntry(String path, NetworkAddress address, boolean local) {

  /**
   * Returns whether this is a wildcard address, to which other hosts cannot connect.
   *
   * @return true for a wildcard address
   */
  boolean isWildcard() {
    return ip().isAnyLocalAddress();
  }

  /**
   * Returns whether two sockets cannot listen on both addresses.
   *
   * @param other the other address
   * @return true if the ports are equal and either the IP addresses are equal or both addresses are
   *     local and one is a wildcard
   */
  boolean overlaps(AddressEntry other) {
    if (address.port() != other.address.port()) {
      return false;
    }
    if (ip().equals(other.ip())) {
      return true;
    }
    return local && other.local && (isWildcard() || other.isWildcard());
  }

  private InetAddress ip() {
    return InetAddresses.forString(address.ip());
  }
}
