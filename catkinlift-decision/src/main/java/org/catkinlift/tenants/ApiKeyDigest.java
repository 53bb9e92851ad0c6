package org.catkinlift.tenants;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.util.Optional;

/**
 * The SHA-256 digest of an API key.
 *
 * <p>Keys are compared by their digests only, so that the time of a comparison depends neither on
 * the length nor on a prefix of a configured key, and so that no key is kept in memory or logged.
 */
public final class ApiKeyDigest {
  /** The maximum length of an API key, in bytes. */
  public static final int MAX_KEY_BYTES = 1_024;

  private final HashCode digest;

  private ApiKeyDigest(HashCode digest) {
    this.digest = digest;
  }

  /**
   * Returns the digest of a key.
   *
   * @param key the bytes of the key; not kept
   * @return the digest, or empty if the key is empty or longer than {@link #MAX_KEY_BYTES}
   */
  public static Optional<ApiKeyDigest> of(byte[] key) {
    return key.length == 0 || key.length > MAX_KEY_BYTES
        ? Optional.empty()
        : Optional.of(new ApiKeyDigest(Hashing.sha256().hashBytes(key)));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ApiKeyDigest that && digest.equals(that.digest);
  }

  @Override
  public int hashCode() {
    return digest.hashCode();
  }

  /** Does not show the digest, from which a short key could be guessed. */
  @Override
  public String toString() {
    return "ApiKeyDigest";
  }
}
