package org.catkinlift.bench.traffic;

/** How a baseline path chooses the upstream of a request and limits or repeats requests. */
sealed interface BaselinePolicy {

  /** Sends to the owner of the key without a limit. */
  record Owner() implements BaselinePolicy {}

  /**
   * Sends to the owner of the key, with as many requests in flight as it has execution slots;
   * excess requests wait. The limit is not reduced for a cold upstream.
   */
  record OwnerWithLimit() implements BaselinePolicy {}

  /**
   * Sends to the owner of the key, with one limit on the requests in flight to all upstreams.
   *
   * @param size the maximum number of requests in flight in the pool
   */
  record SharedPool(int size) implements BaselinePolicy {}

  /** Sends to an upstream chosen uniformly at random. */
  record RandomChoice() implements BaselinePolicy {}

  /** Sends to the upstreams in rotation. */
  record RoundRobin() implements BaselinePolicy {}

  /**
   * Sends to the upstream with the least load, counted as the load of its last report plus the
   * requests sent to it since.
   *
   * @param misreportingIndex the index of an upstream that always reports zero load
   */
  record LeastReportedLoad(int misreportingIndex) implements BaselinePolicy {}

  /** Sends to the owner of the key and retries after each timeout, without a retry budget. */
  record OwnerWithRetries() implements BaselinePolicy {}
}
