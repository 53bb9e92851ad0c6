package org.catkinlift.admission.replay;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.catkinlift.admission.AdmissionRule;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.admission.ReportedLoad;
import org.catkinlift.admission.UpstreamQueue;
import org.catkinlift.model.UpstreamId;

/** One daemon with its queue for one upstream; counts what its callers got. */
final class ModelDaemon {
  private static final long USUAL_NANOS = Duration.ofMillis(140).toNanos();
  private static final double LATE_WORTH = 0.1;

  private final VirtualTime time;
  private final UpstreamId id;
  private final ModelUpstream upstream;
  private final SplittableRandom random;
  private final UpstreamQueue<ModelRequest> queue;

  private AdmissionShares shares = AdmissionShares.ALL;
  private double credit;
  private double owed;
  private int resets;

  ModelDaemon(
      VirtualTime time, UpstreamId id, ModelUpstream upstream, int slots, SplittableRandom random) {
    this.time = time;
    this.id = id;
    this.upstream = upstream;
    this.random = random;
    this.queue = new UpstreamQueue<>(slots, time.now());
  }

  void apply(AdmissionShares next) {
    shares = next;
  }

  double credit() {
    return credit;
  }

  double owed() {
    return owed;
  }

  int resets() {
    return resets;
  }

  void take(ModelRequest request) {
    owed += request.worth();
    if (!shares.admits(id, request.urgency().priority(), random.nextDouble())) {
      return;
    }
    AdmissionRule.Decision decision =
        queue.offer(request, request.urgency(), USUAL_NANOS, random.nextDouble(), time.now());
    switch (decision) {
      case AdmissionRule.Decision.Admit admit -> pump();
      case AdmissionRule.Decision.Reject reject -> {}
    }
  }

  private void pump() {
    Optional<ModelRequest> next = queue.takeNext(USUAL_NANOS, time.now());
    while (next.isPresent()) {
      ModelRequest request = next.get();
      upstream.send(request, (outcome, load) -> ended(request, outcome, load));
      next = queue.takeNext(USUAL_NANOS, time.now());
    }
  }

  private void ended(ModelRequest request, ModelUpstream.Outcome outcome, ReportedLoad load) {
    queue.ended();
    switch (outcome) {
      case ANSWERED -> {
        boolean inTime = time.now() <= request.urgency().targetNanos();
        credit += request.worth() * (inTime ? 1 : LATE_WORTH);
        queue.reported(load, time.now());
      }
      case RESET -> resets++;
      case TOO_LATE -> queue.reported(load, time.now());
    }
    // Not within the same call, because a reset may come before the sending has returned.
    time.at(time.now(), this::pump);
  }
}
