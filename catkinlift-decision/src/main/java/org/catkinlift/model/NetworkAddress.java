package org.catkinlift.model;

/**
 * The IP address and TCP port of an endpoint.
 *
 * @param ip the IP address, as text
 * @param port the TCP port, 1 to 65,535
 */
public record NetworkAddress(String ip, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * Checks the port.
   *
   * @throws ModelException with code {@code OUT_OF_RANGE} if the port is outside its range
   */
  public NetworkAddress {
    if (port < 1 || port > MAX_PORT) {
      throw new ModelException(
          ModelException.Code.OUT_OF_RANGE, "port must be 1 to 65535, was " + port);
    }
  }

  /**
   * Returns an address.
   *
   * @param ip the IP address
   * @param port the TCP port
   * @return the address
   */
  public static NetworkAddress of(String ip, int port) {
    return new NetworkAddress(ip, port);
  }

  @Override
  public String toString() {
    return ip + ":" + port;
  }
}
