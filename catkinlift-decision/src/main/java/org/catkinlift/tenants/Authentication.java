package org.catkinlift.tenants;

/** The decision on the tenant of a request. */
public sealed interface Authentication {

  /** The request needs no API key: its route is public, or no tenants are configured. */
  record NotRequired() implements Authentication {}

  /**
   * The request has the API key of a tenant.
   *
   * @param tenant the tenant
   */
  record Authenticated(Tenant tenant) implements Authentication {}

  /**
   * The request has no API key that the configuration in force allows.
   *
   * @param reason the reason
   */
  record Rejected(RejectionReason reason) implements Authentication {}

  /**
   * The configuration in force may be out of date, and the deployment prefers a refusal to a
   * request with a revoked key.
   */
  record ConfigurationUnconfirmed() implements Authentication {}

  /** Why a request has no valid API key. */
  enum RejectionReason {
    /** The request has no credentials. */
    MISSING("missing credentials"),
    /** The credentials are of another scheme, repeated, empty or too long. */
    MALFORMED("malformed credentials"),
    /** The API key belongs to no tenant. */
    UNKNOWN("unknown API key");

    private final String text;

    RejectionReason(String text) {
      this.text = text;
    }

    /**
     * Returns the text for log lines.
     *
     * @return the text; does not depend on the credentials
     */
    public String text() {
      return text;
    }
  }
}
