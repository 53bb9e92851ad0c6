package org.catkinlift.gateway.settings;

import java.time.Duration;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;

/**
 * The settings of one daemon.
 *
 * @param host the name of this host
 * @param zone its availability zone
 * @param cpuCapacity the processor time of this host, in cores of usual speed
 * @param addresses where the daemon listens and where the store is
 * @param timeLimits the times that the site demands
 * @param retryBudget the budget of second sends, of all daemons together
 * @param headers the names of the headers that callers and upstreams use
 */
public record GatewaySettings(
    HostId host,
    ZoneName zone,
    double cpuCapacity,
    Addresses addresses,
    TimeLimits timeLimits,
    RetryBudget retryBudget,
    HeaderNames headers) {

  /**
   * The addresses of one daemon.
   *
   * @param callers where callers connect
   * @param health where the load balancer asks whether the daemon is ready
   * @param healthPath the path of that question
   * @param peers where other daemons connect
   * @param metrics where metrics are served
   * @param store where the store is
   */
  public record Addresses(
      NetworkAddress callers,
      NetworkAddress health,
      String healthPath,
      NetworkAddress peers,
      NetworkAddress metrics,
      NetworkAddress store) {}

  /**
   * The times that the site demands.
   *
   * @param drain within which an upstream that leaves gets no more requests
   * @param evacuate within which an availability zone that is taken out gets no more requests
   * @param stopGracePeriod from the stop signal to the forced end of the process
   * @param maxGrantDuration the longest grant that upstreams accept
   */
  public record TimeLimits(
      Duration drain, Duration evacuate, Duration stopGracePeriod, Duration maxGrantDuration) {}

  /**
   * The budget of second sends.
   *
   * @param ratio the allowed repeats per request
   * @param retriesPerWindow the repeats allowed besides in one window, of all daemons together
   * @param window the time over which both are counted
   */
  public record RetryBudget(double ratio, double retriesPerWindow, Duration window) {}

  /**
   * The names of headers, in lower case.
   *
   * @param requestId identifies an attempt of a caller
   * @param deadlineMillis how long the caller waits, in milliseconds
   * @param key the key of a request to a keyed service
   * @param signature proves that an upstream made the answer
   * @param expectedUpstream names the upstream that may execute the request
   * @param notExecuted states that the upstream did not execute the request
   * @param answeringUpstream names the upstream that answers, if it is not the expected one
   * @param load the load of the upstream that answers
   */
  public record HeaderNames(
      String requestId,
      String deadlineMillis,
      String key,
      String signature,
      String expectedUpstream,
      String notExecuted,
      String answeringUpstream,
      String load) {}
}
