package org.catkinlift.standin;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.catkinlift.model.NetworkAddress;

/**
 * Allocates free ports, because daemons must know each other's addresses before they start.
 *
 * <p>Ports are below the kernel's ephemeral port range, and each process allocates them from blocks
 * that it has reserved, so that no outgoing connection or other process takes a port between its
 * allocation and the time that a server listens on it. A process reserves a block by listening on
 * the first port of the block until the process exits.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 20_000;
  private static final int END_PORT = 32_000;
  static final int BLOCK_SIZE = 50;
  private static final int BLOCKS = (END_PORT - FIRST_PORT) / BLOCK_SIZE;
  private static final int BACKLOG = 1;

  private static final FreePorts SHARED = new FreePorts(new SplittableRandom());

  private final SplittableRandom random;

  /** Referenced because a socket that is garbage collected is closed. */
  private final List<ServerSocket> reservations = new ArrayList<>();

  private int next;
  private int blockEnd;

  private FreePorts(SplittableRandom random) {
    this.random = random;
  }

  /**
   * Returns one unused address.
   *
   * @param ip the loopback IP address
   * @return the address; never returned twice within a process
   */
  public static NetworkAddress findOne(String ip) {
    return SHARED.allocate(ip);
  }

  /**
   * Returns unused addresses.
   *
   * @param ip the loopback IP address
   * @param count the number of addresses
   * @return the addresses
   */
  public static ImmutableList<NetworkAddress> find(String ip, int count) {
    return Stream.generate(() -> findOne(ip)).limit(count).collect(ImmutableList.toImmutableList());
  }

  private synchronized NetworkAddress allocate(String ip) {
    while (true) {
      if (next == blockEnd) {
        reserveBlock(ip);
      }
      int port = next;
      next++;
      if (isFree(ip, port)) {
        return NetworkAddress.of(ip, port);
      }
    }
  }

  private void reserveBlock(String ip) {
    for (int tries = 0; tries < BLOCKS * 4; tries++) {
      int first = FIRST_PORT + BLOCK_SIZE * random.nextInt(BLOCKS);
      if (reserve(ip, first)) {
        next = first + 1;
        blockEnd = first + BLOCK_SIZE;
        return;
      }
    }
    throw new IllegalStateException("no free port block on " + ip);
  }

  /** Tries to listen on a port until the process exits. */
  private boolean reserve(String ip, int port) {
    try {
      reservations.add(listen(ip, port));
      return true;
    } catch (IOException e) {
      // Another process has reserved the block.
      return false;
    }
  }

  private static boolean isFree(String ip, int port) {
    try {
      listen(ip, port).close();
      return true;
    } catch (IOException e) {
      // A process that does not reserve blocks is listening on the port.
      return false;
    }
  }

  private static ServerSocket listen(String ip, int port) throws IOException {
    var socket = new ServerSocket();
    try {
      socket.bind(new InetSocketAddress(ip, port), BACKLOG);
      return socket;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }
}
