package org.catkinlift.daemon.logging;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * Selects the requests whose events are logged.
 *
 * <p>The selection depends on the request id only, so that all daemons on the path of a request
 * make the same decision and log either all of its events or none.
 */
final class RequestSampler {
  private static final HashFunction HASH = Hashing.farmHashFingerprint64();
  private static final int BUCKETS = 1_000_000;

  private final long sampledBuckets;

  /**
   * Creates a sampler.
   *
   * @param rate the fraction of requests to select, from 0 to 1
   */
  RequestSampler(double rate) {
    this.sampledBuckets = Math.round(rate * BUCKETS);
  }

  /**
   * Returns whether the events of a request are logged.
   *
   * @param requestId the request id
   * @return true if the request is selected
   */
  boolean isSampled(String requestId) {
    long hash = HASH.hashString(requestId, UTF_8).asLong();
    return Long.remainderUnsigned(hash, BUCKETS) < sampledBuckets;
  }
}
