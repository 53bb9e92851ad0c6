package org.catkinlift.cli.demo;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import org.catkinlift.standin.load.LoadGenerator;
import org.catkinlift.standin.load.LoadReport;
import org.catkinlift.standin.load.LoadSettings;
import org.catkinlift.standin.load.RecordAudit;
import org.catkinlift.standin.load.Targets;

/** Sends the seeded request mix through the daemons, then directly to the upstreams. */
final class DemoRun {

  private final Vertx vertx;
  private final DemoSite site;
  private final long seed;
  private final Duration duration;

  DemoRun(Vertx vertx, DemoSite site, long seed, Duration duration) {
    this.vertx = vertx;
    this.site = site;
    this.seed = seed;
    this.duration = duration;
  }

  /**
   * Runs both load phases, stops the daemons and audits the recorded activity of the upstreams.
   *
   * <p>The activity is read after the daemons have stopped, so that it includes late executions of
   * requests with unknown outcome and the changes of ownership during the shutdown.
   */
  Future<DemoResult> measure() {
    return runLoad("routed", site.routedTargets())
        .compose(
            routed ->
                runLoad("direct", site.directTargets()).compose(direct -> audit(routed, direct)));
  }

  private Future<DemoResult> audit(LoadReport routed, LoadReport direct) {
    return site.stopDaemons()
        .compose(v -> site.upstreamActivities())
        .map(activities -> RecordAudit.compare(routed.refusedIds(), activities))
        .map(audit -> new DemoResult(routed, direct, audit));
  }

  private Future<LoadReport> runLoad(String name, Targets targets) {
    return LoadGenerator.run(
        vertx,
        LoadSettings.builder().name(name).seed(seed).targets(targets).duration(duration).build());
  }
}
