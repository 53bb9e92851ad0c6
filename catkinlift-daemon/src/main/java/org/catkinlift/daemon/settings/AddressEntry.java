package org.catkinlift.daemon.settings;

import com.google.common.net.InetAddresses;
import java.net.InetAddress;
import org.catkinlift.model.NetworkAddress;

/**
 * An address that a settings document names, with the place for errors about it.
 *
 * @param path its path
 * @param address the address
 * @param local whether this daemon listens on it
 */
record AddressEntry(String path, NetworkAddress address, boolean local) {

  /**
   * Tells whether the address stands for all addresses of the host.
   *
   * @return true if other hosts cannot connect to it
   */
  boolean isWildcard() {
    return ip().isAnyLocalAddress();
  }

  /**
   * Tells whether two sockets cannot listen on both addresses.
   *
   * @param other the other address
   * @return true if the ports are equal and the IP numbers are equal or one of two local addresses
   *     is the wildcard
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
