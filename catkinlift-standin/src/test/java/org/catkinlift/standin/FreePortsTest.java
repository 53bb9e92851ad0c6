package org.catkinlift.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.catkinlift.model.NetworkAddress;
import org.junit.jupiter.api.Test;

/**
 * Guards against an allocated port being taken by an outgoing connection or another allocation
 * before the daemon listens on it.
 */
final class FreePortsTest {
  private static final String LOOPBACK = "127.0.0.1";

  /** The kernel's default for the first ephemeral port. */
  private static final int FIRST_EPHEMERAL_PORT = 32_768;

  private static final int GARBAGE_COLLECTIONS = 5;

  /** Leaves time to close the sockets that are no longer referenced. */
  private static final long CLEANER_MILLIS = 50;

  @Test
  void neverReturnsAnAddressTwice() {
    Set<NetworkAddress> seen = new HashSet<>();

    for (int i = 0; i < 300; i++) {
      assertThat(seen.add(FreePorts.findOne(LOOPBACK))).isTrue();
    }
  }

  @Test
  void portsAreBelowTheEphemeralRange() {
    ImmutableList<NetworkAddress> found = FreePorts.find(LOOPBACK, 20);

    assertThat(found).hasSize(20);
    for (NetworkAddress address : found) {
      assertThat(address.port()).isLessThan(FIRST_EPHEMERAL_PORT);
    }
  }

  @Test
  void skipsPortsThatAreInUse() throws Exception {
    int nextPort = FreePorts.findOne(LOOPBACK).port() + 1;
    try (var listener = new ServerSocket(nextPort, 1, InetAddress.getLoopbackAddress())) {
      assertThat(FreePorts.findOne(LOOPBACK).port()).isNotEqualTo(listener.getLocalPort());
    }
  }

  /** Another test process would reserve the same block, and both would listen on its ports. */
  @Test
  void blockStaysReservedAfterGarbageCollection() throws Exception {
    int port = FreePorts.findOne(LOOPBACK).port();
    int first = port - port % FreePorts.BLOCK_SIZE;

    for (int i = 0; i < GARBAGE_COLLECTIONS; i++) {
      System.gc();
      Thread.sleep(CLEANER_MILLIS);
      assertThrows(
          BindException.class, () -> new ServerSocket(first, 1, InetAddress.getLoopbackAddress()));
    }
  }
}
