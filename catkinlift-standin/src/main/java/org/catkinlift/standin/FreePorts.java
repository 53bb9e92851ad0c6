package org.catkinlift.standin;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.catkinlift.model.NetworkAddress;

/**
 * Finds free ports, because daemons must know each other's addresses before they start.
 *
 * <p>The ports lie below those that the kernel gives to outgoing connections, and each process
 * takes them from blocks of its own. So nobody else takes a port between the time that it is found
 * and the time that somebody listens on it. A process claims a block by listening on its first port
 * until the process ends.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 20_000;
  private static final int END_PORT = 32_000;
  private static final int BLOCK_SIZE = 50;
  private static final int BLOCKS = (END_PORT - FIRST_PORT) / BLOCK_SIZE;
  private static final int BACKLOG = 1;

  private static final FreePorts SHARED = new FreePorts(new SplittableRandom());

  private final SplittableRandom random;
  private int next;
  private int blockEnd;

  private FreePorts(SplittableRandom random) {
    this.random = random;
  }

  /**
   * Returns one address that nobody listens on.
   *
   * @param ip the loopback IP number
   * @return the address; this process gets it only once
   */
  public static NetworkAddress findOne(String ip) {
    return SHARED.allocate(ip);
  }

  /**
   * Returns addresses that nobody listens on.
   *
   * @param ip the loopback IP number
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
    throw new IllegalStateException("no free block of ports on " + ip);
  }

  /** Listens on a port until the process ends. */
  @SuppressWarnings("resource")
  private static boolean reserve(String ip, int port) {
    try {
      listen(ip, port);
      return true;
    } catch (IOException e) {
      // Another process has the block.
      return false;
    }
  }

  private static boolean isFree(String ip, int port) {
    try {
      listen(ip, port).close();
      return true;
    } catch (IOException e) {
      // Somebody who does not claim blocks listens there.
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
