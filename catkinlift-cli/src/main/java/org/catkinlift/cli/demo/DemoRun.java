package org.catkinlift.cli.demo;

import com.google.common.collect.ImmutableSet;
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

  /** Measures; the audit covers the run through the daemons. */
  Future<DemoResult> measure() {
    return load("routed", site.throughDaemons()).compose(routed -> audited(routed));
  }

  private Future<DemoResult> audited(LoadReport routed) {
    ImmutableSet<String> refused = routed.refusedIds();
    return site.records()
        .map(records -> RecordAudit.compare(refused, records))
        .compose(
            audit ->
                load("direct", site.straightToUpstreams())
                    .map(direct -> new DemoResult(routed, direct, audit)));
  }

  private Future<LoadReport> load(String name, Targets targets) {
    return LoadGenerator.run(
        vertx,
        LoadSettings.builder().name(name).seed(seed).targets(targets).duration(duration).build());
  }
}
