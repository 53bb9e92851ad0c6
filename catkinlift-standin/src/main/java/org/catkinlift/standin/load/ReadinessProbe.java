package org.catkinlift.standin.load;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;

/** Waits until all daemons of a site answer requests for all services. */
public final class ReadinessProbe {

  private static final Duration ROUND_DURATION = Duration.ofMillis(500);
  private static final int REQUESTS_PER_SECOND = 200;
  private static final int DOWNLOAD_BYTES = 1_000;

  private ReadinessProbe() {}

  /**
   * Sends rounds of lookups and small downloads until all requests of a round are answered.
   *
   * @param vertx sends the requests
   * @param targets routes the requests through the daemons
   * @param downloadShare the share of downloads; 0 if the site serves no files
   * @param rounds the maximum number of rounds
   * @return completes when the site is ready; fails after the last round
   */
  public static Future<Void> await(Vertx vertx, Targets targets, double downloadShare, int rounds) {
    return LoadGenerator.run(vertx, settings(targets, downloadShare, rounds))
        .compose(
            report -> retryUnlessReady(vertx, targets, downloadShare, rounds, report.counts()));
  }

  private static Future<Void> retryUnlessReady(
      Vertx vertx, Targets targets, double downloadShare, int rounds, LoadReport.Counts counts) {
    if (counts.answered() == counts.requests()) {
      return Future.succeededFuture();
    }
    if (rounds <= 1) {
      return Future.failedFuture("site not ready: not all probe requests were answered: " + counts);
    }
    return await(vertx, targets, downloadShare, rounds - 1);
  }

  private static LoadSettings settings(Targets targets, double downloadShare, int round) {
    return LoadSettings.builder()
        .name("probe-" + round)
        .seed(round)
        .targets(targets)
        .ratePerSecond(REQUESTS_PER_SECOND)
        .duration(ROUND_DURATION)
        .orderShare(0)
        .downloadShare(downloadShare)
        .downloadBytes(DOWNLOAD_BYTES)
        .build();
  }
}
