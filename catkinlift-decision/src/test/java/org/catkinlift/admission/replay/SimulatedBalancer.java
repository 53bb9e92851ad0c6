package org.catkinlift.admission.replay;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.catkinlift.admission.AdmissionPolicy;
import org.catkinlift.admission.ReportedLoad;
import org.catkinlift.admission.UpstreamQueue;
import org.catkinlift.admission.UpstreamSelector;

/** A daemon that selects an upstream for each request; counts answers within the target. */
final class SimulatedBalancer {
  private static final long TYPICAL_SERVICE_NANOS = 90_000_000;

  private final VirtualTime time;
  private final long zoneMarginNanos;
  private final boolean learnsSpeeds;
  private final SplittableRandom random;
  private final UpstreamSelector selector;
  private final List<Target> targets = new ArrayList<>();

  private final BitSet connected = new BitSet();

  private int answeredInTime;

  private record PendingRequest(SimulatedRequest request, Runnable onAnswer) {}

  private record Target(
      int index,
      SimulatedUpstream upstream,
      boolean sameZone,
      UpstreamQueue<PendingRequest> queue) {}

  SimulatedBalancer(
      VirtualTime time,
      List<SimulatedUpstream> upstreams,
      List<Integer> zones,
      int zone,
      long zoneMarginNanos,
      boolean learnsSpeeds,
      SplittableRandom random) {
    this.time = time;
    this.zoneMarginNanos = zoneMarginNanos;
    this.learnsSpeeds = learnsSpeeds;
    this.random = random;
    this.selector = new UpstreamSelector(random.split());
    for (int i = 0; i < upstreams.size(); i++) {
      add(i, upstreams.get(i), zones.get(i) == zone);
    }
  }

  private UpstreamQueue<PendingRequest> add(
      int index, SimulatedUpstream upstream, boolean sameZone) {
    var queue = new UpstreamQueue<PendingRequest>(upstream.slots(), time.now());
    targets.add(new Target(index, upstream, sameZone, queue));
    return queue;
  }

  /** Adds an upstream that has just started; returns its queue. */
  UpstreamQueue<PendingRequest> addStarted(SimulatedUpstream upstream) {
    return add(targets.size(), upstream, true);
  }

  int answeredInTime() {
    return answeredInTime;
  }

  void receive(SimulatedRequest request) {
    receive(request, () -> {});
  }

  /** Handles a request; runs a task if it is answered within its target. */
  void receive(SimulatedRequest request, Runnable onAnswer) {
    List<UpstreamSelector.Candidate<Target>> candidates = new ArrayList<>();
    for (Target target : targets) {
      if (!target.queue().isWithinRate(time.now())) {
        continue;
      }
      long expectedNanos = target.queue().expectedNanos(TYPICAL_SERVICE_NANOS, time.now());
      candidates.add(
          new UpstreamSelector.Candidate<>(
              target, expectedNanos, target.sameZone(), connected.get(target.index())));
    }
    Target target = selector.choose(candidates, zoneMarginNanos).orElseThrow();
    AdmissionPolicy.Decision decision =
        target
            .queue()
            .offer(
                new PendingRequest(request, onAnswer),
                request.urgency(),
                TYPICAL_SERVICE_NANOS,
                random.nextDouble(),
                time.now());
    switch (decision) {
      case AdmissionPolicy.Decision.Admit admit -> sendQueued(target);
      case AdmissionPolicy.Decision.Reject reject -> {}
    }
  }

  private void sendQueued(Target target) {
    Optional<PendingRequest> next = target.queue().takeNext(TYPICAL_SERVICE_NANOS, time.now());
    while (next.isPresent()) {
      PendingRequest pending = next.get();
      long sentNanos = time.now();
      connected.set(target.index());
      target
          .upstream()
          .send(
              pending.request(),
              (outcome, load) -> ended(target, pending, sentNanos, outcome, load));
      next = target.queue().takeNext(TYPICAL_SERVICE_NANOS, time.now());
    }
  }

  private void ended(
      Target target,
      PendingRequest pending,
      long sentNanos,
      SimulatedUpstream.Outcome outcome,
      ReportedLoad load) {
    if (outcome == SimulatedUpstream.Outcome.RESET) {
      target.queue().requestFailed(time.now());
    } else {
      target.queue().requestSucceeded(time.now());
      target.queue().loadReported(load, time.now());
      boolean hadQueue = target.queue().hasUpstreamQueue(time.now());
      if (learnsSpeeds && !hadQueue) {
        target.queue().responseMeasured(time.now() - sentNanos, TYPICAL_SERVICE_NANOS, time.now());
      }
    }
    target.queue().requestEnded();
    if (time.now() <= pending.request().urgency().targetNanos()
        && outcome == SimulatedUpstream.Outcome.ANSWERED) {
      answeredInTime++;
      pending.onAnswer().run();
    }
    time.at(time.now(), () -> sendQueued(target));
  }
}
