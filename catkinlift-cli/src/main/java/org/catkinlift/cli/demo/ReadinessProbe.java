package org.catkinlift.cli.demo;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import org.catkinlift.standin.load.LoadGenerator;
import org.catkinlift.standin.load.LoadReport;
import org.catkinlift.standin.load.LoadSettings;
import org.catkinlift.standin.load.Targets;

/** Waits until a site answers requests of all services at all daemons. */
final class ReadinessProbe {

  private static final Duration ROUND = Duration.ofMillis(500);
  private static final int REQUESTS_PER_SECOND = 200;
  private static final double DOWNLOAD_SHARE = 0.2;
  private static final int DOWNLOAD_BYTES = 1_000;

  private ReadinessProbe() {}

  /**
   * Sends rounds of lookups and small downloads until all of one round are answered.
   *
   * @param vertx sends the requests
   * @param targets the way through the daemons
   * @param rounds how many rounds to try
   * @return completes when the site is ready; fails after the last round
   */
  static Future<Void> await(Vertx vertx, Targets targets, int rounds) {
    return LoadGenerator.run(vertx, settings(targets, rounds))
        .compose(report -> again(vertx, targets, rounds, report.counts()));
  }

  private static Future<Void> again(
      Vertx vertx, Targets targets, int rounds, LoadReport.Counts counts) {
    if (counts.answered() == counts.requests()) {
      return Future.succeededFuture();
    }
    if (rounds <= 1) {
      return Future.failedFuture("the site does not answer all requests: " + counts);
    }
    return await(vertx, targets, rounds - 1);
  }

  private static LoadSettings settings(Targets targets, int round) {
    return LoadSettings.builder()
        .name("probe-" + round)
        .seed(round)
        .targets(targets)
        .ratePerSecond(REQUESTS_PER_SECOND)
        .duration(ROUND)
        .orderShare(0)
        .downloadShare(DOWNLOAD_SHARE)
        .downloadBytes(DOWNLOAD_BYTES)
        .build();
  }
}
