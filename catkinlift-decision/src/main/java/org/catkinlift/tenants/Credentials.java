package org.catkinlift.tenants;

/** What a request states about its tenant. */
public sealed interface Credentials {

  /** The request has no credentials. */
  record Missing() implements Credentials {}

  /** The credentials are of another scheme, repeated, empty or too long. */
  record Malformed() implements Credentials {}

  /**
   * The request has an API key.
   *
   * @param digest the digest of the key
   */
  record ApiKey(ApiKeyDigest digest) implements Credentials {}
}
