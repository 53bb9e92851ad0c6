package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.model.ServiceName;
import org.catkinlift.ranges.GrantProgress;
import org.catkinlift.ranges.GrantResult;

/**
 * Logs once a second what the coordinator of one service did, and how busy its control thread was.
 * Confined to the control thread.
 */
final class CoordinatorLoadLog {
  private static final Duration INTERVAL = Duration.ofSeconds(1);

  private final EventLog log;
  private final ServiceName service;

  private long startedNanos;
  private long lastRoundNanos;
  private long maxGapNanos;
  private long decisionNanos;
  private int confirmed;
  private int rejected;
  private int notSent;
  private int unanswered;
  private int writes;

  CoordinatorLoadLog(EventLog log, ServiceName service, long nowNanos) {
    this.log = log;
    this.service = service;
    this.startedNanos = nowNanos;
    this.lastRoundNanos = nowNanos;
  }

  /**
   * Records a round of decisions.
   *
   * @param progress the state after it
   * @param startNanos when the round began
   * @param endNanos when it ended
   */
  void roundEnded(GrantProgress progress, long startNanos, long endNanos) {
    maxGapNanos = Math.max(maxGapNanos, startNanos - lastRoundNanos);
    lastRoundNanos = startNanos;
    decisionNanos += endNanos - startNanos;
    if (endNanos - startedNanos >= INTERVAL.toNanos()) {
      write(progress);
      reset(endNanos);
    }
  }

  void mapWriteStarted() {
    writes++;
  }

  /** Counts a grant or release that has ended. */
  void callEnded(GrantResult result) {
    switch (result) {
      case GrantResult.Done done -> confirmed++;
      case GrantResult.HolderEnded ended -> rejected++;
      case GrantResult.Outdated outdated -> rejected++;
      case GrantResult.NotSent failed -> notSent++;
      case GrantResult.Unanswered failed -> unanswered++;
    }
  }

  private void write(GrantProgress progress) {
    log.log(
        EventCode.COORDINATOR_LOAD,
        ImmutableMap.<String, Object>builder()
            .put("service", service)
            .put("ranges", progress.ranges())
            .put("granted", progress.granted())
            .put("open", progress.openCalls())
            .put("confirmed", confirmed)
            .put("rejected", rejected)
            .put("not_sent", notSent)
            .put("unanswered", unanswered)
            .put("writes", writes)
            .put("decision_ms", Duration.ofNanos(decisionNanos).toMillis())
            .put("max_gap_ms", Duration.ofNanos(maxGapNanos).toMillis())
            .buildOrThrow());
  }

  private void reset(long nowNanos) {
    startedNanos = nowNanos;
    maxGapNanos = 0;
    decisionNanos = 0;
    confirmed = 0;
    rejected = 0;
    notSent = 0;
    unanswered = 0;
    writes = 0;
  }
}
