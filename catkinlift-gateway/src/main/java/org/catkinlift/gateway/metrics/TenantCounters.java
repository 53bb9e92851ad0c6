package org.catkinlift.gateway.metrics;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.model.TenantName;

/**
 * Counts the requests and refusals of tenants. Only the largest tenants have counters of their own,
 * so that the number of counters does not grow with the configuration. Confined to one thread.
 *
 * <p>A tenant that is not counted yet replaces the one with the fewest requests, and continues from
 * its number of requests. Large tenants are therefore never replaced by a sequence of small ones.
 */
public final class TenantCounters {
  /** The number of tenants with counters of their own. */
  static final int MAX_TENANTS = 32;

  private static final int UNAUTHORIZED = 401;
  private static final int TOO_MANY_REQUESTS = 429;

  /** Not valid as names of tenants. */
  private static final String OTHER_TENANTS = "_other";

  private static final String NO_TENANT = "_none";

  private final GatewayMetrics metrics;
  private final Map<TenantName, Usage> largest = new HashMap<>();

  private static final class Usage {
    private long requests;
    private final Set<String> counters = new HashSet<>();

    Usage(long requests) {
      this.requests = requests;
    }
  }

  /**
   * Creates the counters.
   *
   * @param metrics the metrics that hold them
   */
  public TenantCounters(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Counts a request that has ended.
   *
   * @param tenant the tenant, if the request has a valid API key
   * @param status the status code of the response
   */
  public void requestEnded(Optional<TenantName> tenant, int status) {
    if (tenant.isEmpty()) {
      if (status == UNAUTHORIZED) {
        metrics.increment("tenant_refusals." + NO_TENANT + "." + status);
      }
      return;
    }
    Usage usage = usageOf(tenant.get());
    usage.requests++;
    increment(usage, "tenant_requests.", tenant.get(), "");
    if (status == UNAUTHORIZED || status == TOO_MANY_REQUESTS) {
      increment(usage, "tenant_refusals.", tenant.get(), "." + status);
    }
  }

  private void increment(Usage usage, String prefix, TenantName tenant, String suffix) {
    String name = prefix + tenant + suffix;
    usage.counters.add(name);
    metrics.increment(name);
  }

  private Usage usageOf(TenantName tenant) {
    Usage known = largest.get(tenant);
    if (known != null) {
      return known;
    }
    long requests = largest.size() < MAX_TENANTS ? 0 : removeSmallest();
    var usage = new Usage(requests);
    largest.put(tenant, usage);
    return usage;
  }

  /** Adds the counters of the smallest tenant to those of the others; returns its requests. */
  private long removeSmallest() {
    Map.Entry<TenantName, Usage> smallest =
        largest.entrySet().stream()
            .min(Comparator.comparingLong(entry -> entry.getValue().requests))
            .orElseThrow();
    String name = smallest.getKey().value();
    for (String counter : smallest.getValue().counters) {
      int start = counter.indexOf('.') + 1;
      String other =
          counter.substring(0, start) + OTHER_TENANTS + counter.substring(start + name.length());
      metrics.moveCount(counter, other);
    }
    largest.remove(smallest.getKey());
    return smallest.getValue().requests;
  }
}
