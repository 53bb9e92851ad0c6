package org.catkinlift.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.catkinlift.gateway.GatewayFixture.KEYED;
import static org.catkinlift.gateway.GatewayFixture.SHARED;
import static org.catkinlift.gateway.GatewayFixture.get;
import static org.catkinlift.gateway.GatewayFixture.upstream;
import static org.catkinlift.gateway.ScriptedUpstream.ok;
import static org.catkinlift.gateway.ScriptedUpstream.write;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import org.catkinlift.gateway.GatewayFixture.Connection;
import org.catkinlift.gateway.store.StoreUpdate;
import org.catkinlift.model.TenantName;
import org.catkinlift.tenants.ApiKeyDigest;
import org.catkinlift.tenants.Quota;
import org.catkinlift.tenants.StalenessBound;
import org.catkinlift.tenants.Tenant;
import org.catkinlift.tenants.TenantRegistry;
import org.junit.jupiter.api.Test;

/** Guards against requests that are served, or shown to upstreams, under the wrong tenant. */
final class TenantsTest {
  private static final String AUTHORIZED = "Authorization: Token key-one\r\n";
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(25);
  private static final int MAX_CHECKS = 400;
  private static final Duration REVOCATION = Duration.ofSeconds(1);

  /** More requests than the upstream has slots, so that some wait in the daemon. */
  private static final int REQUESTS_WITH_QUEUE = 7;

  private static final Quota SMALL_QUOTA = new Quota(1, 5);

  /** Exceeds what the quota allows, with its tolerance, for as long as the test may last. */
  private static final int REQUESTS_OVER_QUOTA = 400;

  private static TenantRegistry registry(String name, String key) {
    return registry(name, key, Optional.empty());
  }

  private static TenantRegistry registry(String name, String key, Optional<Quota> quota) {
    var tenant = new Tenant(TenantName.of(name), OptionalInt.empty(), quota);
    ApiKeyDigest digest = ApiKeyDigest.of(key.getBytes(StandardCharsets.UTF_8)).orElseThrow();
    return TenantRegistry.builder().add(tenant, ImmutableList.of(digest)).build();
  }

  private static GatewayFixture serve(StalenessBound bound, ScriptedUpstream shared)
      throws Exception {
    var fixture = new GatewayFixture(bound);
    fixture.serve(
        upstream("u-1", SHARED, shared.address()), upstream("u-2", KEYED, shared.address()));
    applyTenants(fixture, 2, registry("one", "key-one"));
    return fixture;
  }

  private static void applyTenants(GatewayFixture fixture, long version, TenantRegistry tenants)
      throws Exception {
    fixture.publishConfiguration(version, tenants);
    awaitInForce(fixture, version);
  }

  /** Waits until requests are decided by a version, which their log lines state. */
  private static void awaitInForce(GatewayFixture fixture, long version) throws Exception {
    try (var connection = fixture.connect()) {
      for (int i = 0; i < MAX_CHECKS; i++) {
        assertThat(status(connection, "/none/a", "")).isEqualTo(404);
        if (fixture.logged().contains("configuration=" + version)) {
          return;
        }
        Thread.sleep(CHECK_INTERVAL);
      }
    }
    throw new AssertionError("version " + version + " not in force");
  }

  private static int status(Connection connection, String path, String headers) throws Exception {
    connection.send(get(path, "r1", headers));
    return connection.read().status();
  }

  private static ScriptedUpstream answering() throws Exception {
    return new ScriptedUpstream((n, id, out) -> write(out, ok(id, "stock")));
  }

  @Test
  void onlyValidKeyIsServedAndUnknownRouteComesFirst() throws Exception {
    try (var shared = answering()) {
      GatewayFixture fixture = serve(new StalenessBound.FailOpen(), shared);
      try (var connection = fixture.connect()) {
        assertThat(status(connection, "/lookup/a", AUTHORIZED)).isEqualTo(200);
        assertThat(status(connection, "/lookup/a", "authorization: token  key-one\r\n"))
            .isEqualTo(200);
        assertThat(status(connection, "/lookup/a", "")).isEqualTo(401);
        assertThat(status(connection, "/lookup/a", AUTHORIZED + AUTHORIZED)).isEqualTo(401);
        assertThat(status(connection, "/lookup/a", "Authorization: Token key-on\r\n"))
            .isEqualTo(401);
        assertThat(status(connection, "/lookup/a", "Authorization: Basic key-one\r\n"))
            .isEqualTo(401);
        assertThat(status(connection, "/none/a", "")).isEqualTo(404);
      }
      assertThat(shared.requestHeads()).hasSize(2);
      fixture.awaitLogged("unknown API key");
      assertThat(fixture.logged()).contains("tenant=one");
      assertThat(fixture.logged()).doesNotContain("key-on");
    }
  }

  /** The parser takes a misplaced header for a request line and quotes it in its error. */
  @Test
  void keyInMalformedRequestIsNotLogged() throws Exception {
    try (var shared = answering()) {
      GatewayFixture fixture = serve(new StalenessBound.FailOpen(), shared);
      try (var connection = fixture.connect()) {
        connection.send(AUTHORIZED + "\r\n");
        assertThat(connection.read().status()).isEqualTo(400);
      }
      fixture.awaitLogged("status=400");
      assertThat(fixture.logged().toLowerCase(Locale.ROOT)).doesNotContain("key-one");
    }
  }

  @Test
  void upstreamGetsOneTenantHeaderAndNoKey() throws Exception {
    String forged = "X-Tenant: two\r\nx-tenant: three\r\nX_TENANT: four\r\n";
    try (var shared = answering()) {
      GatewayFixture fixture = serve(new StalenessBound.FailOpen(), shared);
      try (var connection = fixture.connect()) {
        assertThat(status(connection, "/lookup/a", forged + AUTHORIZED)).isEqualTo(200);
        assertThat(status(connection, "/public/a", forged + AUTHORIZED)).isEqualTo(200);
      }
      String withTenant = shared.requestHeads().get(0).toLowerCase(Locale.ROOT);
      assertThat(withTenant.lines().filter(l -> l.matches("x.tenant:.*")))
          .containsExactly("x-tenant: one");
      String withoutTenant = shared.requestHeads().get(1).toLowerCase(Locale.ROOT);
      assertThat(withoutTenant.lines().filter(l -> l.matches("x.tenant:.*"))).isEmpty();
      assertThat(withTenant + withoutTenant).doesNotContain("key-one");
      assertThat(withTenant + withoutTenant).doesNotContain("authorization");
    }
  }

  @Test
  void withoutTenantsHeadersReachUpstreamUnchanged() throws Exception {
    try (var shared = answering()) {
      var fixture = new GatewayFixture();
      fixture.serve(
          upstream("u-1", SHARED, shared.address()), upstream("u-2", KEYED, shared.address()));
      try (var connection = fixture.connect()) {
        assertThat(status(connection, "/lookup/a", "X-Tenant: two\r\n" + AUTHORIZED))
            .isEqualTo(200);
      }
      assertThat(shared.requestHeads().get(0)).contains("X-Tenant: two");
      assertThat(shared.requestHeads().get(0)).contains("Authorization: Token key-one");
    }
  }

  @Test
  void revokedKeyIsRefusedOnOpenConnectionAndInQueue() throws Exception {
    var release = new CountDownLatch(1);
    try (var shared =
        new ScriptedUpstream(
            (n, id, out) -> {
              awaitUninterruptibly(release);
              return write(out, ok(id, "stock"));
            })) {
      GatewayFixture fixture = serve(new StalenessBound.FailOpen(), shared);
      List<Connection> connections = new ArrayList<>();
      for (int i = 0; i < REQUESTS_WITH_QUEUE; i++) {
        connections.add(fixture.connect());
        connections.get(i).send(get("/lookup/a", "r" + i, AUTHORIZED));
      }
      while (shared.requestHeads().isEmpty()) {
        Thread.sleep(25);
      }
      Thread.sleep(500);
      int sent = shared.requestHeads().size();
      assertThat(sent).isLessThan(REQUESTS_WITH_QUEUE);

      applyTenants(fixture, 3, registry("one", "key-two"));
      try (var other = fixture.connect()) {
        assertThat(status(other, "/lookup/a", AUTHORIZED)).isEqualTo(401);
      }
      release.countDown();
      List<Integer> statuses = new ArrayList<>();
      for (Connection connection : connections) {
        statuses.add(connection.read().status());
        assertThat(status(connection, "/lookup/a", AUTHORIZED)).isEqualTo(401);
        connection.close();
      }
      assertThat(statuses.stream().filter(s -> s == 200).count()).isEqualTo(sent);
      assertThat(statuses.stream().filter(s -> s == 401).count())
          .isEqualTo(REQUESTS_WITH_QUEUE - sent);
      assertThat(shared.requestHeads()).hasSize(sent);
    }
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void failClosedRefusesTenantsWithoutRecentContact() throws Exception {
    try (var shared = answering()) {
      GatewayFixture fixture = serve(new StalenessBound.FailClosed(REVOCATION), shared);
      try (var connection = fixture.connect()) {
        connection.send(get("/lookup/a", "r1", AUTHORIZED));
        GatewayFixture.Response refused = connection.read();
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.head().toLowerCase(Locale.ROOT)).contains("retry-after:");
        assertThat(status(connection, "/public/a", "")).isEqualTo(200);

        fixture.store().emit(new StoreUpdate.CallAnswered());
        Thread.sleep(REVOCATION.toMillis() / 4);
        assertThat(status(connection, "/lookup/a", AUTHORIZED)).isEqualTo(200);

        Thread.sleep(REVOCATION.toMillis());
        assertThat(status(connection, "/lookup/a", AUTHORIZED)).isEqualTo(503);
      }
      fixture.awaitLogged("configuration confirmed");
    }
  }

  @Test
  void failOpenServesTenantsWithoutContact() throws Exception {
    try (var shared = answering()) {
      GatewayFixture fixture = serve(new StalenessBound.FailOpen(), shared);
      fixture.store().emit(new StoreUpdate.CallFailed("test"));
      try (var connection = fixture.connect()) {
        assertThat(status(connection, "/lookup/a", AUTHORIZED)).isEqualTo(200);
      }
    }
  }

  /**
   * A tenant over its quota would take the capacity of the others, or would not know when to retry.
   */
  @Test
  void requestsOverTheQuotaAreRefusedWithoutExecution() throws Exception {
    try (var shared = answering()) {
      GatewayFixture fixture = serve(new StalenessBound.FailOpen(), shared);
      applyTenants(fixture, 3, registry("one", "key-one", Optional.of(SMALL_QUOTA)));
      int served = 0;
      int refused = 0;
      try (var connection = fixture.connect()) {
        for (int i = 0; i < REQUESTS_OVER_QUOTA; i++) {
          connection.send(get("/order/a", "r" + i, AUTHORIZED));
          GatewayFixture.Response response = connection.read();
          served += response.status() == 200 ? 1 : 0;
          if (response.status() == 429) {
            refused++;
            assertThat(response.head().toLowerCase(Locale.ROOT)).contains("retry-after: ");
          }
        }
      }
      assertThat(served + refused).isEqualTo(REQUESTS_OVER_QUOTA);
      assertThat(refused).isGreaterThan(0);
      assertThat(shared.requestHeads()).hasSize(served);
    }
  }
}
