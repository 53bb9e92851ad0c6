package org.catkinlift.tenants;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.catkinlift.model.TenantName;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are served with a revoked or ambiguous key, and against requests of
 * valid tenants that are refused because of another entry.
 */
final class AuthenticatorTest {
  private static final long FRESH = Duration.ofMillis(300).toNanos();
  private static final long STALE = Duration.ofSeconds(6).toNanos();
  private static final Tenant ONE = tenant("one");
  private static final Tenant TWO = tenant("two");

  private final Authenticator open = new Authenticator(new StalenessBound.FailOpen());
  private final Authenticator closed =
      new Authenticator(new StalenessBound.FailClosed(Duration.ofSeconds(5)));

  private static Tenant tenant(String name) {
    return new Tenant(TenantName.of(name), OptionalInt.empty(), Optional.empty());
  }

  private static ApiKeyDigest digest(String key) {
    return ApiKeyDigest.of(key.getBytes(StandardCharsets.UTF_8)).orElseThrow();
  }

  private static Credentials key(String key) {
    return new Credentials.ApiKey(digest(key));
  }

  private static TenantRegistry.Builder registry() {
    return TenantRegistry.builder().add(ONE, ImmutableList.of(digest("k1"), digest("k1")));
  }

  private static Authentication rejected(Authentication.RejectionReason reason) {
    return new Authentication.Rejected(reason);
  }

  @Test
  void onlyConfiguredKeysIdentifyTenant() {
    TenantRegistry tenants = registry().build();

    assertThat(open.authenticate(tenants, false, key("k1"), STALE))
        .isEqualTo(new Authentication.Authenticated(ONE));
    assertThat(open.authenticate(tenants, false, key("k"), STALE))
        .isEqualTo(rejected(Authentication.RejectionReason.UNKNOWN));
    assertThat(open.authenticate(tenants, false, new Credentials.Missing(), STALE))
        .isEqualTo(rejected(Authentication.RejectionReason.MISSING));
    assertThat(open.authenticate(tenants, false, new Credentials.Malformed(), STALE))
        .isEqualTo(rejected(Authentication.RejectionReason.MALFORMED));
  }

  @Test
  void publicRouteOrNoTenantsRequireNoKey() {
    assertThat(closed.authenticate(registry().build(), true, new Credentials.Missing(), STALE))
        .isEqualTo(new Authentication.NotRequired());
    assertThat(closed.authenticate(TenantRegistry.NONE, false, new Credentials.Missing(), STALE))
        .isEqualTo(new Authentication.NotRequired());
  }

  @Test
  void staleConfigurationRefusesTenantsOnlyIfFailClosed() {
    TenantRegistry tenants = registry().build();

    assertThat(closed.authenticate(tenants, false, key("k1"), FRESH))
        .isEqualTo(new Authentication.Authenticated(ONE));
    assertThat(closed.authenticate(tenants, false, key("k1"), STALE))
        .isEqualTo(new Authentication.ConfigurationUnconfirmed());
    assertThat(closed.authenticate(tenants, false, key("new"), STALE))
        .isEqualTo(new Authentication.ConfigurationUnconfirmed());
    assertThat(closed.authenticate(tenants, false, new Credentials.Missing(), STALE))
        .isEqualTo(rejected(Authentication.RejectionReason.MISSING));
  }

  @Test
  void keyOfTwoTenantsBelongsToNeither() {
    TenantRegistry tenants =
        registry().add(TWO, ImmutableList.of(digest("k2"), digest("k1"))).build();

    assertThat(tenants.find(digest("k1"))).isEmpty();
    assertThat(tenants.find(digest("k2"))).hasValue(TWO);
    assertThat(tenants.problems().stream().map(TenantProblem::tenant))
        .containsExactly("one", "two");
  }

  @Test
  void secondTenantOfSameNameIsSkipped() {
    TenantRegistry tenants = registry().add(tenant("one"), ImmutableList.of(digest("k3"))).build();

    assertThat(tenants.find(digest("k1"))).hasValue(ONE);
    assertThat(tenants.find(digest("k3"))).isEmpty();
    assertThat(tenants.problems()).hasSize(1);
  }

  @Test
  void keysOfInvalidLengthHaveNoDigest() {
    assertThat(ApiKeyDigest.of(new byte[0])).isEmpty();
    assertThat(ApiKeyDigest.of(new byte[ApiKeyDigest.MAX_KEY_BYTES])).isPresent();
    assertThat(ApiKeyDigest.of(new byte[ApiKeyDigest.MAX_KEY_BYTES + 1])).isEmpty();
  }
}
