package org.catkinlift.bench.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.catkinlift.limits.AttemptResult;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.timer.VirtualTimerService;

/**
 * The path through a simple proxy, as a baseline. It has no cancellation, and no queue or limit
 * other than the one of its policy.
 */
final class BaselinePath implements RequestPath {
  /**
   * One-way latency from entry daemon to upstream, the same as on the path of the router, so that
   * results differ by decisions alone.
   */
  private static final Duration HOP_LATENCY = Duration.ofNanos(1_100_000);

  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
  private static final Duration RETRY_TIMEOUT = Duration.ofMillis(200);
  private static final int MAX_RETRIES = 3;
  private static final CallerReply DEADLINE_EXCEEDED =
      CallerReply.of(Outcome.unknown(RefusalCode.ANSWER_OVERDUE));

  private final TrafficSimulation simulation;
  private final VirtualTimerService timers;
  private final BaselinePolicy policy;
  private final SplittableRandom random;
  private final ConcurrencyLimiter sharedLimiter;
  private final Set<UpstreamId> upstreamsToSilence = new HashSet<>();
  private final Map<UpstreamId, Integer> reportedLoads = new HashMap<>();
  private final Map<UpstreamId, ConcurrencyLimiter> ownerLimiters = new HashMap<>();
  private int nextIndex;
  private long attempts;

  BaselinePath(TrafficSimulation simulation, BaselinePolicy policy, long seed) {
    this.simulation = simulation;
    this.timers = simulation.timers();
    this.policy = policy;
    this.random = new SplittableRandom(seed);
    this.sharedLimiter =
        new ConcurrencyLimiter(policy instanceof BaselinePolicy.SharedPool pool ? pool.size() : 0);
    collectLoadReports();
    var unused = timers.every(REPORT_INTERVAL, this::collectLoadReports);
  }

  @Override
  public void submit(CallerRequest request, Consumer<CallerReply> reply) {
    Consumer<CallerReply> replyOnce = once(reply);
    timers.after(request.description().deadline(), () -> replyOnce.accept(DEADLINE_EXCEEDED));
    switch (policy) {
      case BaselinePolicy.SharedPool pool -> sendWithinLimit(request, replyOnce, sharedLimiter);
      case BaselinePolicy.OwnerWithLimit limit ->
          sendWithinLimit(request, replyOnce, ownerLimiter(request));
      case BaselinePolicy.OwnerWithRetries retries -> sendWithRetries(request, replyOnce, 0);
      case BaselinePolicy.Owner owner -> send(request, replyOnce);
      case BaselinePolicy.RandomChoice choice -> send(request, replyOnce);
      case BaselinePolicy.RoundRobin choice -> send(request, replyOnce);
      case BaselinePolicy.LeastReportedLoad choice -> send(request, replyOnce);
    }
  }

  /** Makes the connection that carries the next request to each upstream silent. */
  void silenceOneConnectionPerUpstream() {
    simulation.definitions().forEach(d -> upstreamsToSilence.add(d.id()));
  }

  private void send(CallerRequest request, Consumer<CallerReply> reply) {
    FakeUpstream upstream = choose(request);
    long attempt = ++attempts;
    if (upstreamsToSilence.remove(upstream.id())) {
      upstream.silence(attempt);
    }
    timers.after(
        HOP_LATENCY,
        () ->
            upstream.receive(
                attempt,
                attempt,
                request,
                answer -> timers.after(HOP_LATENCY, () -> reply.accept(replyOf(answer)))));
  }

  private void sendWithRetries(CallerRequest request, Consumer<CallerReply> reply, int retries) {
    var answered = new boolean[1];
    send(
        request,
        answer -> {
          answered[0] = true;
          reply.accept(answer);
        });
    timers.after(
        RETRY_TIMEOUT,
        () -> {
          if (!answered[0] && retries < MAX_RETRIES) {
            sendWithRetries(request, reply, retries + 1);
          }
        });
  }

  private void sendWithinLimit(
      CallerRequest request, Consumer<CallerReply> reply, ConcurrencyLimiter limiter) {
    limiter.submit(
        () -> {
          Consumer<CallerReply> releaseAndReply =
              once(
                  answer -> {
                    limiter.release();
                    reply.accept(answer);
                  });
          timers.after(
              request.description().deadline(), () -> releaseAndReply.accept(DEADLINE_EXCEEDED));
          send(request, releaseAndReply);
        });
  }

  private ConcurrencyLimiter ownerLimiter(CallerRequest request) {
    return ownerLimiters.computeIfAbsent(
        simulation.ownerOf(request),
        id -> new ConcurrencyLimiter(simulation.definitions().get(0).concurrencyLimit()));
  }

  private FakeUpstream choose(CallerRequest request) {
    int count = simulation.definitions().size();
    return switch (policy) {
      case BaselinePolicy.Owner owner -> simulation.upstream(simulation.ownerOf(request));
      case BaselinePolicy.OwnerWithLimit limit -> simulation.upstream(simulation.ownerOf(request));
      case BaselinePolicy.SharedPool pool -> simulation.upstream(simulation.ownerOf(request));
      case BaselinePolicy.OwnerWithRetries retries ->
          simulation.upstream(simulation.ownerOf(request));
      case BaselinePolicy.RandomChoice choice -> simulation.upstream(random.nextInt(count));
      case BaselinePolicy.RoundRobin choice -> simulation.upstream(nextIndex++ % count);
      case BaselinePolicy.LeastReportedLoad choice -> leastReportedLoad();
    };
  }

  private FakeUpstream leastReportedLoad() {
    FakeUpstream best = simulation.upstream(0);
    for (int i = 1; i < simulation.definitions().size(); i++) {
      FakeUpstream other = simulation.upstream(i);
      best = reportedLoads.get(other.id()) < reportedLoads.get(best.id()) ? other : best;
    }
    reportedLoads.merge(best.id(), 1, Integer::sum);
    return best;
  }

  private void collectLoadReports() {
    for (int i = 0; i < simulation.definitions().size(); i++) {
      FakeUpstream upstream = simulation.upstream(i);
      reportedLoads.put(upstream.id(), misreportsLoad(i) ? 0 : upstream.inFlight());
    }
  }

  private boolean misreportsLoad(int index) {
    return policy instanceof BaselinePolicy.LeastReportedLoad reported
        && reported.misreportingIndex() == index;
  }

  private static Consumer<CallerReply> once(Consumer<CallerReply> reply) {
    var replied = new boolean[1];
    return answer -> {
      if (!replied[0]) {
        replied[0] = true;
        reply.accept(answer);
      }
    };
  }

  private static CallerReply replyOf(FakeUpstream.Answer answer) {
    return switch (answer.result()) {
      case AttemptResult.Answered answered -> CallerReply.answer(answer.requestNumber());
      case AttemptResult.Shed shed -> notRun(RefusalCode.UPSTREAM_SHED);
      case AttemptResult.Refused refused -> notRun(refused.code());
      case AttemptResult.Failed failed -> CallerReply.of(Outcome.unknown(failed.code()));
      case AttemptResult.Stopped stopped ->
          CallerReply.of(Outcome.unknown(RefusalCode.CONNECTION_LOST));
    };
  }

  private static CallerReply notRun(RefusalCode code) {
    return CallerReply.of(Outcome.notRun(code, Duration.ZERO));
  }
}
