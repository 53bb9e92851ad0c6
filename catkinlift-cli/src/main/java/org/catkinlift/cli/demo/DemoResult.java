package org.catkinlift.cli.demo;

import org.catkinlift.standin.load.AuditReport;
import org.catkinlift.standin.load.LoadReport;

/**
 * The result of a measured run of the demo.
 *
 * @param routed the load report for requests through the daemons
 * @param direct the load report for requests sent directly to the upstreams, as the baseline
 * @param audit the audit of the recorded upstream activity
 */
record DemoResult(LoadReport routed, LoadReport direct, AuditReport audit) {

  /** Tells whether no answer was wrong and the audit found no violation. */
  boolean isClean() {
    return routed.counts().wrongAnswers() == 0 && audit.isClean();
  }
}
