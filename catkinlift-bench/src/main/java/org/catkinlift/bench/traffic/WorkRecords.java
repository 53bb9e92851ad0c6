package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RequestClass;
import org.catkinlift.model.UpstreamId;

/** Records what the fakes saw and judges the invariants at each event. */
final class WorkRecords {
  /** The judged invariants of section 1.2 of the design. */
  enum Invariant {
    BEARABLE_WORK,
    OWN_ANSWER,
    TRUE_NOT_RUN,
    AT_MOST_ONCE
  }

  private final Map<Long, Integer> runs = new HashMap<>();
  private final Set<Long> toldNotRun = new HashSet<>();
  private final Map<Invariant, String> firstViolations = new EnumMap<>(Invariant.class);
  private long violationCount;
  private long totalRuns;
  private int largestExcess;

  /** Judges invariant 3: an upstream gets no more work than it bears. */
  void accepted(UpstreamId upstream, int inFlight, int bears) {
    largestExcess = Math.max(largestExcess, inFlight - bears);
    if (inFlight > bears) {
      violate(
          Invariant.BEARABLE_WORK,
          "upstream " + upstream + " has " + inFlight + " requests and bears " + bears);
    }
  }

  /** Judges invariants 6 and 7: no run after "not run", one run of an at-most-once request. */
  void ran(CallerRequest request) {
    totalRuns++;
    int count = runs.merge(request.number(), 1, Integer::sum);
    if (count > 1 && request.description().requestClass().equals(RequestClass.AT_MOST_ONCE)) {
      violate(
          Invariant.AT_MOST_ONCE,
          "at-most-once request " + request.number() + " ran " + count + " times");
    }
    if (toldNotRun.contains(request.number())) {
      violate(
          Invariant.TRUE_NOT_RUN,
          "request " + request.number() + " ran after its caller was told that it did not");
    }
  }

  /** Judges invariants 5 and 6: the caller's own answer, and the truth of "not run". */
  void told(CallerRequest request, CallerReply reply) {
    switch (reply.outcome()) {
      case Outcome.Answered answered -> checkOwnAnswer(request, reply);
      case Outcome.NotRun notRun -> checkNotRun(request);
      case Outcome.Unknown unknown -> {}
    }
  }

  /** Returns the first violation of each invariant that was violated. */
  ImmutableMap<Invariant, String> firstViolations() {
    return Maps.immutableEnumMap(firstViolations);
  }

  long violationCount() {
    return violationCount;
  }

  /** Returns the largest number of requests above what an upstream bore. */
  int largestExcess() {
    return largestExcess;
  }

  long totalRuns() {
    return totalRuns;
  }

  private void checkOwnAnswer(CallerRequest request, CallerReply reply) {
    if (reply.answerTo() != request.number()) {
      violate(
          Invariant.OWN_ANSWER,
          "request " + request.number() + " got the answer to " + reply.answerTo());
    }
  }

  private void checkNotRun(CallerRequest request) {
    toldNotRun.add(request.number());
    if (runs.containsKey(request.number())) {
      violate(
          Invariant.TRUE_NOT_RUN,
          "request " + request.number() + " ran, its caller was told that it did not");
    }
  }

  private void violate(Invariant invariant, String text) {
    violationCount++;
    firstViolations.putIfAbsent(invariant, text);
  }
}
