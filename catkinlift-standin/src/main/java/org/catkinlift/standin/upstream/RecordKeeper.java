package org.catkinlift.standin.upstream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/** Collects the {@link UpstreamRecord} of an upstream. Confined to the upstream's event loop. */
final class RecordKeeper {

  private final UpstreamId upstream;
  private final UpstreamClock clock;
  private final Map<Long, UpstreamRecord.Execution> executions = new LinkedHashMap<>();
  private final Map<String, UpstreamRecord.Ownership> present = new LinkedHashMap<>();
  private final List<UpstreamRecord.Ownership> past = new ArrayList<>();

  RecordKeeper(UpstreamId upstream, UpstreamClock clock) {
    this.upstream = upstream;
    this.clock = clock;
  }

  void started(Work work, String instance, long nowNanos) {
    executions.put(
        work.number(),
        new UpstreamRecord.Execution(work, instance, nowNanos, OptionalLong.empty()));
  }

  void ended(long number, long nowNanos) {
    executions.computeIfPresent(
        number,
        (n, e) ->
            new UpstreamRecord.Execution(
                e.work(), e.instance(), e.startNanos(), OptionalLong.of(nowNanos)));
  }

  /** Notes a grant; subjects of the same service that it leaves out are given up now. */
  void granted(UpstreamRequest.Grant grant, long nowNanos) {
    long endNanos = clock.nanosAt(grant.expiresAtMillis());
    ImmutableMap<String, Epoch> subjects = subjects(grant);
    givenUp(
        present.keySet().stream()
            .filter(s -> s.startsWith(grant.service() + "/") && !subjects.containsKey(s))
            .collect(ImmutableSet.toImmutableSet()),
        nowNanos);
    subjects.forEach((subject, epoch) -> believe(subject, epoch, nowNanos, endNanos));
  }

  /** Notes that slots and keys were given up. */
  void released(UpstreamRequest.Release release, long nowNanos) {
    var subjects = ImmutableSet.<String>builder();
    release.slots().forEach(s -> subjects.add(slotSubject(release.service(), s)));
    release.overrides().forEach(k -> subjects.add(keySubject(release.service(), k)));
    givenUp(subjects.build(), nowNanos);
  }

  /** Notes that the run of the upstream ended, and with it all that it did and owned. */
  void instanceEnded(long nowNanos) {
    givenUp(ImmutableSet.copyOf(present.keySet()), nowNanos);
    executions.values().stream()
        .filter(e -> e.endNanos().isEmpty())
        .map(e -> e.work().number())
        .toList()
        .forEach(n -> ended(n, nowNanos));
  }

  UpstreamRecord snapshot() {
    return new UpstreamRecord(
        upstream,
        ImmutableList.copyOf(executions.values()),
        ImmutableList.<UpstreamRecord.Ownership>builder()
            .addAll(past)
            .addAll(present.values())
            .build());
  }

  private void believe(String subject, Epoch epoch, long nowNanos, long endNanos) {
    UpstreamRecord.Ownership held = present.get(subject);
    boolean continues =
        held != null && held.epoch().equals(epoch) && held.endNanos() - nowNanos >= 0;
    if (held != null && !continues) {
      past.add(endedBy(held, nowNanos));
    }
    long startNanos = continues ? held.startNanos() : nowNanos;
    present.put(subject, new UpstreamRecord.Ownership(subject, epoch, startNanos, endNanos));
  }

  private void givenUp(ImmutableSet<String> subjects, long nowNanos) {
    for (String subject : subjects) {
      UpstreamRecord.Ownership held = present.remove(subject);
      if (held != null) {
        past.add(endedBy(held, nowNanos));
      }
    }
  }

  private static UpstreamRecord.Ownership endedBy(UpstreamRecord.Ownership held, long nowNanos) {
    return new UpstreamRecord.Ownership(
        held.subject(), held.epoch(), held.startNanos(), Math.min(held.endNanos(), nowNanos));
  }

  private static ImmutableMap<String, Epoch> subjects(UpstreamRequest.Grant grant) {
    var subjects = ImmutableMap.<String, Epoch>builder();
    grant.slots().forEach((s, e) -> subjects.put(slotSubject(grant.service(), s), e));
    grant.overrides().forEach((k, e) -> subjects.put(keySubject(grant.service(), k), e));
    return subjects.buildOrThrow();
  }

  private static String slotSubject(ServiceName service, int slot) {
    return service + "/" + slot;
  }

  private static String keySubject(ServiceName service, String key) {
    return service + "/key/" + key;
  }
}
