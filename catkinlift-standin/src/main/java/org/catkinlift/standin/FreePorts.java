package org.catkinlift.standin;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.catkinlift.model.NetworkAddress;

/** Finds free ports, because daemons must know each other's addresses before they start. */
public final class FreePorts {

  private static final int ANY_BACKLOG = 0;

  private FreePorts() {}

  /**
   * Returns one address that nobody listens on.
   *
   * @param ip the loopback IP number
   * @return the address
   */
  public static NetworkAddress findOne(String ip) {
    return find(ip, 1).get(0);
  }

  /**
   * Returns addresses that nobody listens on.
   *
   * @param ip the loopback IP number
   * @param count the number of addresses
   * @return the addresses
   */
  public static ImmutableList<NetworkAddress> find(String ip, int count) {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0, ANY_BACKLOG, InetAddress.getByName(ip)));
      }
      return sockets.stream()
          .map(s -> NetworkAddress.of(ip, s.getLocalPort()))
          .collect(ImmutableList.toImmutableList());
    } catch (IOException e) {
      throw new UncheckedIOException("no free ports on " + ip, e);
    } finally {
      sockets.forEach(FreePorts::close);
    }
  }

  private static void close(ServerSocket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException("port " + socket.getLocalPort() + " stays open", e);
    }
  }
}
