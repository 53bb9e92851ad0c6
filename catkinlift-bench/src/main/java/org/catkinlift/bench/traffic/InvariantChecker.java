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

/** Checks the invariants at each event that the fake callers and upstreams report. */
final class InvariantChecker {
  /** The invariants of section 1.2 of the design that are checked. */
  enum Invariant {
    WITHIN_CAPACITY,
    MATCHING_ANSWER,
    CORRECT_NOT_RUN,
    AT_MOST_ONCE
  }

  private final Map<Long, Integer> runCounts = new HashMap<>();
  private final Set<Long> reportedNotRun = new HashSet<>();
  private final Map<Invariant, String> firstViolations = new EnumMap<>(Invariant.class);
  private long violationCount;
  private long totalRuns;
  private int largestExcess;

  /** Checks invariant 3: the requests in flight at an upstream do not exceed its capacity. */
  void recordAccepted(UpstreamId upstream, int inFlight, int capacity) {
    largestExcess = Math.max(largestExcess, inFlight - capacity);
    if (inFlight > capacity) {
      recordViolation(
          Invariant.WITHIN_CAPACITY,
          "upstream "
              + upstream
              + " has "
              + inFlight
              + " requests in flight, above its capacity of "
              + capacity);
    }
  }

  /**
   * Checks invariants 6 and 7: a request reported as not run is not executed later, and an
   * at-most-once request is executed once at most.
   */
  void recordRun(CallerRequest request) {
    totalRuns++;
    int count = runCounts.merge(request.number(), 1, Integer::sum);
    if (count > 1 && request.description().requestClass().equals(RequestClass.AT_MOST_ONCE)) {
      recordViolation(
          Invariant.AT_MOST_ONCE,
          "at-most-once request " + request.number() + " ran " + count + " times");
    }
    if (reportedNotRun.contains(request.number())) {
      recordViolation(
          Invariant.CORRECT_NOT_RUN,
          "request " + request.number() + " ran after its caller was told that it did not");
    }
  }

  /**
   * Checks invariants 5 and 6: the answer belongs to the request of the caller, and a request that
   * is reported as not run was not executed.
   */
  void recordReply(CallerRequest request, CallerReply reply) {
    switch (reply.outcome()) {
      case Outcome.Answered answered -> checkMatchingAnswer(request, reply);
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

  /** Returns the largest number of requests by which an upstream exceeded its capacity. */
  int largestExcess() {
    return largestExcess;
  }

  long totalRuns() {
    return totalRuns;
  }

  private void checkMatchingAnswer(CallerRequest request, CallerReply reply) {
    if (reply.answeredRequestNumber() != request.number()) {
      recordViolation(
          Invariant.MATCHING_ANSWER,
          "request " + request.number() + " got the answer to " + reply.answeredRequestNumber());
    }
  }

  private void checkNotRun(CallerRequest request) {
    reportedNotRun.add(request.number());
    if (runCounts.containsKey(request.number())) {
      recordViolation(
          Invariant.CORRECT_NOT_RUN,
          "request " + request.number() + " ran before its caller was told that it did not");
    }
  }

  private void recordViolation(Invariant invariant, String message) {
    violationCount++;
    firstViolations.putIfAbsent(invariant, message);
  }
}
