package org.catkinlift.cli.demo;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import org.catkinlift.standin.load.LoadGenerator;
import org.catkinlift.standin.load.LoadReport;
import org.catkinlift.standin.load.LoadSettings;
import org.catkinlift.standin.load.RecordAudit;
import org.catkinlift.standin.load.Targets;

/** Sends the seeded mix through the daemons and then straight to the upstreams. */
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
   * Measures, stops the daemons and compares the records.
   *
   * <p>The records are read last, so that they show what requests of unknown outcome did later and
   * who owned what while the daemons handed over their duties.
   */
  Future<DemoResult> measure() {
    return runLoad("routed", site.routedTargets())
        .compose(
            routed ->
                runLoad("direct", site.directTargets()).compose(direct -> audit(routed, direct)));
  }

  private Future<DemoResult> audit(LoadReport routed, LoadReport direct) {
    return site.stopDaemons()
        .compose(v -> site.records())
        .map(records -> RecordAudit.compare(routed.refusedIds(), records))
        .map(audit -> new DemoResult(routed, direct, audit));
  }

  private Future<LoadReport> runLoad(String name, Targets targets) {
    return LoadGenerator.run(
        vertx,
        LoadSettings.builder().name(name).seed(seed).targets(targets).duration(duration).build());
  }
}
