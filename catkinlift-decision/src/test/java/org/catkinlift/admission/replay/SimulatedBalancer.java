package org.catkinlift.admission.replay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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
  private static final long MAX_IDLE_NANOS = Duration.ofMillis(4_800).toNanos();

  private final VirtualTime time;
  private final long zoneMarginNanos;
  private final boolean learnsSpeeds;
  private final SplittableRandom random;
  private final UpstreamSelector selector;
  private final List<Target> targets = new ArrayList<>();

  private int answeredInTime;
  private int connections;

  private record PendingRequest(SimulatedRequest request, Runnable onAnswer) {}

  private record Target(
      SimulatedUpstream upstream,
      boolean sameZone,
      UpstreamQueue<PendingRequest> queue,
      Deque<Long> idleSinceNanos) {

    private boolean isConnected(long maxIdleNanos, long nowNanos) {
      return !idleSinceNanos.isEmpty() && nowNanos - idleSinceNanos.peek() < maxIdleNanos;
    }
  }

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
      add(upstreams.get(i), zones.get(i) == zone);
    }
  }

  private UpstreamQueue<PendingRequest> add(SimulatedUpstream upstream, boolean sameZone) {
    var queue = new UpstreamQueue<PendingRequest>(upstream.slots(), time.now());
    targets.add(new Target(upstream, sameZone, queue, new ArrayDeque<>()));
    return queue;
  }

  /** Adds an upstream that has just started; returns its queue. */
  UpstreamQueue<?> addStarted(SimulatedUpstream upstream) {
    return add(upstream, true);
  }

  int answeredInTime() {
    return answeredInTime;
  }

  /** Returns the number of connections that were opened. */
  int connections() {
    return connections;
  }

  void receive(SimulatedRequest request) {
    receive(request, () -> {});
  }

  /** Handles a request; runs a task if it is answered within its target. */
  void receive(SimulatedRequest request, Runnable onAnswer) {
    receive(new PendingRequest(request, onAnswer), MAX_IDLE_NANOS, MAX_IDLE_NANOS);
  }

  /**
   * Receives a request that may use a connection that was idle for at most a time.
   *
   * @param request the request
   * @param maxIdleNanos the time after which a connection is not used for it
   * @param assumedMaxIdleNanos the time that is assumed when its upstream is selected
   */
  void receive(SimulatedRequest request, long maxIdleNanos, long assumedMaxIdleNanos) {
    receive(new PendingRequest(request, () -> {}), maxIdleNanos, assumedMaxIdleNanos);
  }

  private void receive(PendingRequest pending, long maxIdleNanos, long assumedMaxIdleNanos) {
    List<UpstreamSelector.Candidate<Target>> candidates = new ArrayList<>();
    for (Target target : targets) {
      if (!target.queue().isWithinRate(time.now())) {
        continue;
      }
      long expectedNanos = target.queue().expectedNanos(TYPICAL_SERVICE_NANOS, time.now());
      candidates.add(
          new UpstreamSelector.Candidate<>(
              target,
              expectedNanos,
              target.sameZone(),
              target.isConnected(assumedMaxIdleNanos, time.now())));
    }
    Target target = selector.choose(candidates, zoneMarginNanos).orElseThrow();
    AdmissionPolicy.Decision decision =
        target
            .queue()
            .offer(
                pending,
                pending.request().urgency(),
                TYPICAL_SERVICE_NANOS,
                random.nextDouble(),
                time.now());
    switch (decision) {
      case AdmissionPolicy.Decision.Admit admit -> sendQueued(target, maxIdleNanos);
      case AdmissionPolicy.Decision.Reject reject -> {}
    }
  }

  private void sendQueued(Target target, long maxIdleNanos) {
    Optional<PendingRequest> next = target.queue().takeNext(TYPICAL_SERVICE_NANOS, time.now());
    while (next.isPresent()) {
      PendingRequest pending = next.get();
      long sentNanos = time.now();
      takeConnection(target, maxIdleNanos);
      target
          .upstream()
          .send(
              pending.request(),
              (outcome, load) -> ended(target, pending, sentNanos, outcome, load));
      next = target.queue().takeNext(TYPICAL_SERVICE_NANOS, time.now());
    }
  }

  private void takeConnection(Target target, long maxIdleNanos) {
    target.idleSinceNanos().removeIf(since -> time.now() - since >= MAX_IDLE_NANOS);
    if (target.isConnected(maxIdleNanos, time.now())) {
      target.idleSinceNanos().pop();
    } else {
      connections++;
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
    target.idleSinceNanos().push(time.now());
    if (time.now() <= pending.request().urgency().targetNanos()
        && outcome == SimulatedUpstream.Outcome.ANSWERED) {
      answeredInTime++;
      pending.onAnswer().run();
    }
    time.at(time.now(), () -> sendQueued(target, MAX_IDLE_NANOS));
  }
}
