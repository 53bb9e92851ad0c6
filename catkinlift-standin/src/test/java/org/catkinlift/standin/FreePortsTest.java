package org.catkinlift.standin;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
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
}
