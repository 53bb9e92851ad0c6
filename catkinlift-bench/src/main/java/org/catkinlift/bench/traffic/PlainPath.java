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

/** A plain proxy as a baseline: no queue, no limit per upstream, no cancellation. */
final class PlainPath implements RequestPath {
  /** The hops of the router from entry daemon to upstream, so that only decisions differ. */
  private static final Duration HOP = Duration.ofNanos(1_100_000);

  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
  private static final Duration RETRY_TIMEOUT = Duration.ofMillis(200);
  private static final int RETRIES = 3;
  private static final CallerReply OVERDUE =
      CallerReply.of(Outcome.unknown(RefusalCode.ANSWER_OVERDUE));

  private final TrafficWorld world;
  private final VirtualTimerService timers;
  private final PlainRule rule;
  private final SplittableRandom random;
  private final PlainPool sharedPool;
  private final Set<UpstreamId> silentNext = new HashSet<>();
  private final Map<UpstreamId, Integer> reports = new HashMap<>();
  private final Map<UpstreamId, PlainPool> poolOf = new HashMap<>();
  private int turn;
  private long attempts;

  PlainPath(TrafficWorld world, PlainRule rule, long seed) {
    this.world = world;
    this.timers = world.timers();
    this.rule = rule;
    this.random = new SplittableRandom(seed);
    this.sharedPool = new PlainPool(rule instanceof PlainRule.SharedPool pool ? pool.size() : 0);
    takeReports();
    var unused = timers.every(REPORT_INTERVAL, this::takeReports);
  }

  @Override
  public void submit(CallerRequest request, Consumer<CallerReply> reply) {
    Consumer<CallerReply> caller = once(reply);
    timers.after(request.description().deadline(), () -> caller.accept(OVERDUE));
    switch (rule) {
      case PlainRule.SharedPool pool -> sendFromPool(request, caller, sharedPool);
      case PlainRule.OwnerLimit limit -> sendFromPool(request, caller, poolOfOwner(request));
      case PlainRule.OwnerWithRetries retries -> sendWithRetries(request, caller, 0);
      case PlainRule.Owner owner -> send(request, caller);
      case PlainRule.RandomChoice choice -> send(request, caller);
      case PlainRule.RoundRobin choice -> send(request, caller);
      case PlainRule.LeastReported choice -> send(request, caller);
    }
  }

  /** The next request to each upstream is written to a silent connection. */
  void silenceOneConnectionPerUpstream() {
    world.definitions().forEach(d -> silentNext.add(d.id()));
  }

  private void send(CallerRequest request, Consumer<CallerReply> reply) {
    FakeUpstream upstream = choose(request);
    long attempt = ++attempts;
    if (silentNext.remove(upstream.id())) {
      upstream.silence(attempt);
    }
    timers.after(
        HOP,
        () ->
            upstream.receive(
                attempt,
                attempt,
                request,
                answer -> timers.after(HOP, () -> reply.accept(replyOf(answer)))));
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
          if (!answered[0] && retries < RETRIES) {
            sendWithRetries(request, reply, retries + 1);
          }
        });
  }

  private void sendFromPool(CallerRequest request, Consumer<CallerReply> reply, PlainPool pool) {
    pool.enter(
        () -> {
          Consumer<CallerReply> leave =
              once(
                  answer -> {
                    pool.leave();
                    reply.accept(answer);
                  });
          timers.after(request.description().deadline(), () -> leave.accept(OVERDUE));
          send(request, leave);
        });
  }

  private PlainPool poolOfOwner(CallerRequest request) {
    return poolOf.computeIfAbsent(
        world.ownerOf(request), id -> new PlainPool(world.definitions().get(0).concurrencyLimit()));
  }

  private FakeUpstream choose(CallerRequest request) {
    int count = world.definitions().size();
    return switch (rule) {
      case PlainRule.Owner owner -> world.upstream(world.ownerOf(request));
      case PlainRule.OwnerLimit limit -> world.upstream(world.ownerOf(request));
      case PlainRule.SharedPool pool -> world.upstream(world.ownerOf(request));
      case PlainRule.OwnerWithRetries retries -> world.upstream(world.ownerOf(request));
      case PlainRule.RandomChoice choice -> world.upstream(random.nextInt(count));
      case PlainRule.RoundRobin choice -> world.upstream(turn++ % count);
      case PlainRule.LeastReported choice -> leastReported();
    };
  }

  private FakeUpstream leastReported() {
    FakeUpstream best = world.upstream(0);
    for (int i = 1; i < world.definitions().size(); i++) {
      FakeUpstream other = world.upstream(i);
      best = reports.get(other.id()) < reports.get(best.id()) ? other : best;
    }
    reports.merge(best.id(), 1, Integer::sum);
    return best;
  }

  private void takeReports() {
    for (int i = 0; i < world.definitions().size(); i++) {
      FakeUpstream upstream = world.upstream(i);
      reports.put(upstream.id(), isMisleading(i) ? 0 : upstream.inFlight());
    }
  }

  private boolean isMisleading(int index) {
    return rule instanceof PlainRule.LeastReported reported && reported.misleading() == index;
  }

  private static Consumer<CallerReply> once(Consumer<CallerReply> reply) {
    var told = new boolean[1];
    return answer -> {
      if (!told[0]) {
        told[0] = true;
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
