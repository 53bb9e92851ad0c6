package org.catkinlift.gateway.settings;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;
import org.catkinlift.tenants.StalenessBound;

/**
 * The settings of one daemon.
 *
 * @param host the id of this host
 * @param zone its availability zone
 * @param cpuCapacity the CPU capacity of this host, in cores of normal speed
 * @param addresses the addresses at which the daemon listens, and the store's address
 * @param timeLimits the time limits that the daemon must keep
 * @param retryBudget the retry budget of all daemons together
 * @param headers the names of the headers that callers and upstreams use
 * @param tenants the headers about tenants, and the bound on the age of the configuration
 * @param callerBounds the bounds on what callers may occupy
 */
public record GatewaySettings(
    HostId host,
    ZoneName zone,
    double cpuCapacity,
    Addresses addresses,
    TimeLimits timeLimits,
    RetryBudget retryBudget,
    HeaderNames headers,
    TenantSettings tenants,
    CallerBounds callerBounds) {

  /**
   * The addresses at which the daemon listens, and the store's address.
   *
   * @param callers the address for callers
   * @param health the address for the load balancer's health checks
   * @param healthPath the path of the health check
   * @param peers the address for other daemons
   * @param metrics the address for metrics
   * @param store the address of the store
   */
  public record Addresses(
      NetworkAddress callers,
      NetworkAddress health,
      String healthPath,
      NetworkAddress peers,
      NetworkAddress metrics,
      NetworkAddress store) {}

  /**
   * The time limits that the daemon must keep.
   *
   * @param drain the time after which a leaving upstream must not receive requests
   * @param evacuate the time after which an availability zone that was taken out of service must
   *     not receive requests
   * @param stopGracePeriod the time from the stop signal until the process is killed
   * @param maxGrantDuration the longest grant that upstreams accept
   */
  public record TimeLimits(
      Duration drain, Duration evacuate, Duration stopGracePeriod, Duration maxGrantDuration) {}

  /**
   * The retry budget of all daemons together.
   *
   * @param ratio the retries allowed per request
   * @param retriesPerWindow the retries allowed in each window in addition to the ratio
   * @param window the time over which requests and retries are counted
   */
  public record RetryBudget(double ratio, double retriesPerWindow, Duration window) {}

  /**
   * The names of headers, in lower case.
   *
   * @param requestId identifies an attempt of a caller
   * @param deadlineMillis the caller's time-out in milliseconds
   * @param key the key of a request to a keyed service
   * @param signature proves that the response was made by an upstream
   * @param expectedUpstream names the upstream that may execute the request
   * @param notExecuted marks a response of an upstream that did not execute the request
   * @param answeringUpstream names the upstream that responds, if it is not the expected one
   * @param load the load of the upstream that responds
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

  /**
   * The headers about tenants, and the bound on the age of the configuration. Apply only if the
   * configuration has tenants.
   *
   * @param tenantHeader names the tenant to the upstream, in lower case
   * @param credentialsHeader the header with the API key of a request, in lower case
   * @param credentialsScheme the word before the API key in that header
   * @param stalenessBound what applies while the configuration cannot be confirmed
   */
  public record TenantSettings(
      String tenantHeader,
      String credentialsHeader,
      String credentialsScheme,
      StalenessBound stalenessBound) {}

  /**
   * The bounds on what all callers, or one of them, may occupy.
   *
   * @param bytes the memory that may be held for all callers; by default a share of that of the
   *     process
   * @param connections the number of their connections; by default a share of the descriptors
   * @param descriptors the descriptors that the process may have; by default the limit of the
   *     operating system. To be stated where the platform enforces a lower one
   * @param headerFields the number of header fields of a request
   * @param pipelinedRequests the number of requests in progress on one connection
   */
  public record CallerBounds(
      OptionalLong bytes,
      OptionalInt connections,
      OptionalInt descriptors,
      int headerFields,
      int pipelinedRequests) {

    /**
     * The bounds that apply if the settings state none. A head of the usual limit of 16 KB has at
     * most 4,096 fields.
     */
    public static final CallerBounds DEFAULT =
        new CallerBounds(OptionalLong.empty(), OptionalInt.empty(), OptionalInt.empty(), 4_096, 32);
  }
}
