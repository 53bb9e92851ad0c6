package org.catkinlift.cli.demo;

import org.catkinlift.standin.load.AuditReport;
import org.catkinlift.standin.load.LoadReport;

/**
 * What a measured run of the demo showed.
 *
 * @param routed what callers of the daemons saw
 * @param direct what callers of the upstreams saw, as the baseline
 * @param audit what the upstreams' records say
 */
record DemoResult(LoadReport routed, LoadReport direct, AuditReport audit) {

  /** Tells whether each answer belonged to its request and all promises were kept. */
  boolean isClean() {
    return routed.counts().wrongAnswers() == 0 && audit.isClean();
  }
}
