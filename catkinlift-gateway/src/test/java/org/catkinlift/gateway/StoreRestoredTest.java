package org.catkinlift.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.catkinlift.gateway.GatewayFixture.KEYED;
import static org.catkinlift.gateway.GatewayFixture.SHARED;
import static org.catkinlift.gateway.GatewayFixture.get;
import static org.catkinlift.gateway.GatewayFixture.upstream;
import static org.catkinlift.gateway.ScriptedUpstream.ok;
import static org.catkinlift.gateway.ScriptedUpstream.write;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.routes.CallerLimits;
import org.catkinlift.routes.RouteConfiguration;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that loses keys or its configuration in a restore of the store. */
final class StoreRestoredTest {
  private final GatewayFixture fixture = new GatewayFixture();

  private int statusOf(String path) throws Exception {
    try (var connection = fixture.connect()) {
      connection.send(get(path, "r" + System.nanoTime(), "X-Shard-Key: 7\r\n"));
      return connection.read().status();
    }
  }

  private void awaitServed(String path) throws Exception {
    for (int i = 0; i < 400 && statusOf(path) != 200; i++) {
      Thread.sleep(25);
    }
    assertThat(statusOf(path)).isEqualTo(200);
  }

  @Test
  void coordinatorGoesOnInTheNewEra() throws Exception {
    try (var keyed = new ScriptedUpstream((n, id, out) -> write(out, ok(id, "desk")))) {
      fixture.serve(upstream("u-1", KEYED, keyed.address()));
      awaitServed("/keyed/a");
      fixture.store().restore();

      fixture.awaitLogged("era=1 held_role=true");
      fixture.awaitLogged("expected_version=0 ranges=1 moving=0 outcome=done");
      assertThat(statusOf("/keyed/a")).isEqualTo(200);
    }
  }

  /** The copy has the configuration of some seconds before. */
  @Test
  void olderConfigurationIsIgnored() throws Exception {
    try (var shared = new ScriptedUpstream((n, id, out) -> write(out, ok(id, "stock")))) {
      fixture.publish(upstream("u-1", SHARED, shared.address()));
      awaitServed("/lookup/a");
      fixture.store().restore();
      fixture
          .store()
          .setConfiguration(
              new RouteConfiguration(
                  0, CallerLimits.DEFAULT, ImmutableList.of(), ImmutableMap.of()));

      fixture.awaitLogged("text=\"stale configuration ignored\" version=0 in_force=1");
      assertThat(statusOf("/lookup/a")).isEqualTo(200);
    }
  }
}
