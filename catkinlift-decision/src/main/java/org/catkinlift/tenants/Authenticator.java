package org.catkinlift.tenants;

import java.util.Optional;

/** Decides which tenant a request belongs to. */
public final class Authenticator {
  private final StalenessBound bound;

  /**
   * Creates an authenticator.
   *
   * @param bound what applies while the configuration cannot be confirmed
   */
  public Authenticator(StalenessBound bound) {
    this.bound = bound;
  }

  /**
   * Decides on the tenant of a request.
   *
   * <p>While a fail-closed bound is exceeded, a request with an unknown key is not rejected as
   * such: a newer configuration may allow the key.
   *
   * @param registry the tenants of the configuration in force
   * @param isPublic whether the route needs no API key
   * @param credentials the credentials of the request
   * @param contactAgeNanos the time since the last confirmed contact with the store
   * @return the decision
   */
  public Authentication authenticate(
      TenantRegistry registry, boolean isPublic, Credentials credentials, long contactAgeNanos) {
    if (!registry.requiresAuthentication() || isPublic) {
      return new Authentication.NotRequired();
    }
    return switch (credentials) {
      case Credentials.Missing missing ->
          new Authentication.Rejected(Authentication.RejectionReason.MISSING);
      case Credentials.Malformed malformed ->
          new Authentication.Rejected(Authentication.RejectionReason.MALFORMED);
      case Credentials.ApiKey key ->
          bound.allows(contactAgeNanos)
              ? find(registry, key.digest())
              : new Authentication.ConfigurationUnconfirmed();
    };
  }

  private static Authentication find(TenantRegistry registry, ApiKeyDigest digest) {
    Optional<Tenant> tenant = registry.find(digest);
    return tenant.isPresent()
        ? new Authentication.Authenticated(tenant.get())
        : new Authentication.Rejected(Authentication.RejectionReason.UNKNOWN);
  }
}
