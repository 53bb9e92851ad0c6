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

/** Records the {@link UpstreamActivity} of an upstream. Confined to the upstream's event loop. */
final class ActivityRecorder {

  private final UpstreamId upstream;
  private final UpstreamClock clock;
  private final Map<Long, UpstreamActivity.Execution> executions = new LinkedHashMap<>();
  private final Map<String, UpstreamActivity.Ownership> currentOwnerships = new LinkedHashMap<>();
  private final List<UpstreamActivity.Ownership> endedOwnerships = new ArrayList<>();

  ActivityRecorder(UpstreamId upstream, UpstreamClock clock) {
    this.upstream = upstream;
    this.clock = clock;
  }

  void started(Work work, String instance, long nowNanos) {
    executions.put(
        work.number(),
        new UpstreamActivity.Execution(work, instance, nowNanos, OptionalLong.empty()));
  }

  void ended(long number, long nowNanos) {
    executions.computeIfPresent(
        number,
        (n, e) ->
            new UpstreamActivity.Execution(
                e.work(), e.instance(), e.startNanos(), OptionalLong.of(nowNanos)));
  }

  /** Records a grant; ends ownership of subjects of the same service that it omits. */
  void granted(UpstreamRequest.Grant grant, long nowNanos) {
    long endNanos = clock.nanosAt(grant.expiresAtMillis());
    ImmutableMap<String, Epoch> subjects = subjects(grant);
    endOwnerships(
        currentOwnerships.keySet().stream()
            .filter(s -> s.startsWith(grant.service() + "/") && !subjects.containsKey(s))
            .collect(ImmutableSet.toImmutableSet()),
        nowNanos);
    subjects.forEach((subject, epoch) -> recordOwnership(subject, epoch, nowNanos, endNanos));
  }

  /** Records the release of slots and keys. */
  void released(UpstreamRequest.Release release, long nowNanos) {
    var subjects = ImmutableSet.<String>builder();
    release.slots().forEach(s -> subjects.add(slotSubject(release.service(), s)));
    release.overrides().forEach(k -> subjects.add(keySubject(release.service(), k)));
    endOwnerships(subjects.build(), nowNanos);
  }

  /** Records the end of an instance, which ends all its executions and ownerships. */
  void instanceEnded(long nowNanos) {
    endOwnerships(ImmutableSet.copyOf(currentOwnerships.keySet()), nowNanos);
    executions.values().stream()
        .filter(e -> e.endNanos().isEmpty())
        .map(e -> e.work().number())
        .toList()
        .forEach(n -> ended(n, nowNanos));
  }

  UpstreamActivity snapshot() {
    return new UpstreamActivity(
        upstream,
        ImmutableList.copyOf(executions.values()),
        ImmutableList.<UpstreamActivity.Ownership>builder()
            .addAll(endedOwnerships)
            .addAll(currentOwnerships.values())
            .build());
  }

  private void recordOwnership(String subject, Epoch epoch, long nowNanos, long endNanos) {
    UpstreamActivity.Ownership current = currentOwnerships.get(subject);
    boolean continues =
        current != null && current.epoch().equals(epoch) && current.endNanos() - nowNanos >= 0;
    if (current != null && !continues) {
      endedOwnerships.add(endedNoLaterThan(current, nowNanos));
    }
    long startNanos = continues ? current.startNanos() : nowNanos;
    currentOwnerships.put(
        subject, new UpstreamActivity.Ownership(subject, epoch, startNanos, endNanos));
  }

  private void endOwnerships(ImmutableSet<String> subjects, long nowNanos) {
    for (String subject : subjects) {
      UpstreamActivity.Ownership current = currentOwnerships.remove(subject);
      if (current != null) {
        endedOwnerships.add(endedNoLaterThan(current, nowNanos));
      }
    }
  }

  private static UpstreamActivity.Ownership endedNoLaterThan(
      UpstreamActivity.Ownership ownership, long nowNanos) {
    return new UpstreamActivity.Ownership(
        ownership.subject(),
        ownership.epoch(),
        ownership.startNanos(),
        Math.min(ownership.endNanos(), nowNanos));
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
