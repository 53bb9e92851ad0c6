package org.catkinlift.bench.traffic;

import java.time.Duration;
import java.util.SplittableRandom;
import org.catkinlift.model.RequestClass;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.RequestId;
import org.catkinlift.model.ServiceName;

/**
 * Generates requests. A request depends only on the seed and its number, so that all compared paths
 * receive the same requests.
 *
 * @param service the service that the requests are sent to
 * @param meanExecutionTime the mean execution time; half of it is fixed, the other half is the mean
 *     of an exponential distribution
 * @param deadline the deadline of each request
 * @param atMostOnceShare the share of at-most-once requests
 * @param seed the seed of all requests
 */
record Workload(
    ServiceName service,
    Duration meanExecutionTime,
    Duration deadline,
    double atMostOnceShare,
    long seed) {
  private static final int KEY_COUNT = 10_000;
  private static final double FIXED_SHARE = 0.5;

  /** Spreads consecutive request numbers over the seed space of the generator. */
  private static final long SEED_STEP = 0x9E3779B97F4A7C15L;

  CallerRequest request(long number) {
    var random = new SplittableRandom(seed ^ (number * SEED_STEP));
    String key = "key-" + random.nextInt(KEY_COUNT);
    double relativeTime = FIXED_SHARE + (1 - FIXED_SHARE) * random.nextExponential();
    boolean atMostOnce = random.nextDouble() < atMostOnceShare;
    var description =
        RequestDescription.builder()
            .id(RequestId.of("request-" + number))
            .service(service)
            .key(key)
            .requestClass(atMostOnce ? RequestClass.AT_MOST_ONCE : RequestClass.REPEATABLE)
            .deadline(deadline)
            .build();
    return new CallerRequest(
        number, description, Duration.ofNanos((long) (meanExecutionTime.toNanos() * relativeTime)));
  }
}
