package org.catkinlift.admission.replay;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.catkinlift.admission.AdmissionPolicy;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.admission.ReportedLoad;
import org.catkinlift.admission.UpstreamQueue;
import org.catkinlift.model.UpstreamId;

/**
 * A daemon with its queue for one upstream; adds up the value of the answers that its callers get.
 */
final class SimulatedDaemon {
  private static final long TYPICAL_SERVICE_NANOS = Duration.ofMillis(140).toNanos();
  private static final double LATE_VALUE_FACTOR = 0.1;

  private final VirtualTime time;
  private final UpstreamId id;
  private final SimulatedUpstream upstream;
  private final SplittableRandom random;
  private final UpstreamQueue<SimulatedRequest> queue;

  private AdmissionShares shares = AdmissionShares.ADMIT_ALL;
  private double earnedValue;
  private double offeredValue;
  private int resets;

  SimulatedDaemon(
      VirtualTime time,
      UpstreamId id,
      SimulatedUpstream upstream,
      int slots,
      SplittableRandom random) {
    this.time = time;
    this.id = id;
    this.upstream = upstream;
    this.random = random;
    this.queue = new UpstreamQueue<>(slots, time.now());
  }

  void apply(AdmissionShares next) {
    shares = next;
  }

  double earnedValue() {
    return earnedValue;
  }

  double offeredValue() {
    return offeredValue;
  }

  int resets() {
    return resets;
  }

  void receive(SimulatedRequest request) {
    offeredValue += request.value();
    if (!shares.admits(id, request.urgency().rank().priority(), random.nextDouble())) {
      return;
    }
    AdmissionPolicy.Decision decision =
        queue.offer(
            request, request.urgency(), TYPICAL_SERVICE_NANOS, random.nextDouble(), time.now());
    switch (decision) {
      case AdmissionPolicy.Decision.Admit admit -> sendQueued();
      case AdmissionPolicy.Decision.Reject reject -> {}
    }
  }

  private void sendQueued() {
    Optional<SimulatedRequest> next = queue.takeNext(TYPICAL_SERVICE_NANOS, time.now());
    while (next.isPresent()) {
      SimulatedRequest request = next.get();
      upstream.send(request, (outcome, load) -> ended(request, outcome, load));
      next = queue.takeNext(TYPICAL_SERVICE_NANOS, time.now());
    }
  }

  private void ended(
      SimulatedRequest request, SimulatedUpstream.Outcome outcome, ReportedLoad load) {
    queue.requestEnded();
    switch (outcome) {
      case ANSWERED -> {
        boolean inTime = time.now() <= request.urgency().targetNanos();
        earnedValue += request.value() * (inTime ? 1 : LATE_VALUE_FACTOR);
        queue.loadReported(load, time.now());
      }
      case RESET -> resets++;
      case TOO_LATE -> queue.loadReported(load, time.now());
    }
    // Scheduled, not called directly, because a reset may be reported before send has returned.
    time.at(time.now(), this::sendQueued);
  }
}
