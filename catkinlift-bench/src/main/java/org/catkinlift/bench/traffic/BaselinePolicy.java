package org.catkinlift.bench.traffic;

/** What a plain baseline does with a request. */
sealed interface BaselinePolicy {

  /** Sends to the owner of the key; unlimited. */
  record Owner() implements BaselinePolicy {}

  /** Sends to the owner of the key up to its execution slots; the rest waits. No ramp. */
  record OwnerWithLimit() implements BaselinePolicy {}

  /**
   * Sends to the owner of the key through a pool that all upstreams share.
   *
   * @param size the requests in flight per host
   */
  record SharedPool(int size) implements BaselinePolicy {}

  /** Sends to an upstream chosen at random. */
  record RandomChoice() implements BaselinePolicy {}

  /** Sends to each upstream in turn. */
  record RoundRobin() implements BaselinePolicy {}

  /**
   * Sends to the upstream with the least load: what it reported plus what was sent since.
   *
   * @param misreportingIndex the index of an upstream that always reports no load
   */
  record LeastReportedLoad(int misreportingIndex) implements BaselinePolicy {}

  /** Sends to the owner of the key, and again after each timeout, without a budget. */
  record OwnerWithRetries() implements BaselinePolicy {}
}
