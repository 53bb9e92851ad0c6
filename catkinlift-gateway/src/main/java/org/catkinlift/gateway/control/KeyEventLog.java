package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Collection;
import java.util.stream.Collectors;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.model.ServiceName;
import org.catkinlift.ranges.EndedHold;
import org.catkinlift.ranges.GrantReason;
import org.catkinlift.ranges.GrantResult;
import org.catkinlift.ranges.Holder;
import org.catkinlift.ranges.KeyRange;
import org.catkinlift.ranges.RangeAction;
import org.catkinlift.ranges.RangeAssignment;
import org.catkinlift.ranges.RangeMap;
import org.catkinlift.ranges.ReassignmentReason;

/** Logs which upstream gets which keys, and why no other upstream holds them any more. */
final class KeyEventLog {
  private final EventLog log;

  KeyEventLog(EventLog log) {
    this.log = log;
  }

  /** Logs each assignment that a new map changes, before the map is written. */
  void mapPlanned(ServiceName service, RangeMap current, RangeAction.WriteMap write) {
    for (RangeMap.Reassignment change : write.map().reassignmentsSince(current)) {
      RangeAssignment assignment = change.assignment();
      ImmutableMap.Builder<String, Object> fields = ImmutableMap.builder();
      fields.put("service", service).put("range", assignment.range());
      fields.put("fence", assignment.fence());
      fields.put("upstream", assignment.holder().upstream());
      fields.put("started", assignment.holder().startedMillis());
      fields.put("replaced", format(change.replacedHolders()));
      fields.put("previous", format(assignment.previousHolders()));
      ReassignmentReason reason = write.reasons().get(assignment.fence());
      if (reason != null) {
        fields.put("reason", reason.logName());
      }
      log.log(EventCode.KEYS_REASSIGNED, fields.buildOrThrow());
    }
  }

  /** Logs the first grant of each assignment. */
  void grantStarted(ServiceName service, RangeAction.Grant grant) {
    switch (grant.reason()) {
      case GrantReason.Renewal renewal -> {}
      case GrantReason.FirstGrant first ->
          log.log(
              EventCode.KEYS_GRANTED_TO_NEW_HOLDER,
              ImmutableMap.of(
                  "service",
                  service,
                  "range",
                  grant.assignment().range(),
                  "fence",
                  grant.assignment().fence(),
                  "upstream",
                  grant.assignment().holder().upstream(),
                  "started",
                  grant.assignment().holder().startedMillis(),
                  "ended",
                  first.endedHolds().stream()
                      .map(KeyEventLog::format)
                      .collect(Collectors.joining(" "))));
    }
  }

  /**
   * Logs the end of a grant call. Confirmed renewals are not logged: they are most of the calls.
   *
   * @param took the time from the decision to the result
   */
  void grantEnded(RangeAction.Grant grant, GrantResult result, Duration took) {
    boolean isRenewal = grant.reason() instanceof GrantReason.Renewal;
    if (isRenewal && result instanceof GrantResult.Done) {
      return;
    }
    RangeAssignment assignment = grant.assignment();
    callEnded(
        result instanceof GrantResult.Done,
        isRenewal ? "renewal" : "grant",
        assignment.holder(),
        assignment.range(),
        assignment.fence(),
        result,
        took);
  }

  /**
   * Logs the end of a release call.
   *
   * @param took the time from the decision to the result
   */
  void releaseEnded(RangeAction.Release release, GrantResult result, Duration took) {
    callEnded(
        endsHold(result),
        "release",
        release.from(),
        release.range(),
        release.fence(),
        result,
        took);
  }

  private static boolean endsHold(GrantResult result) {
    return switch (result) {
      case GrantResult.Done done -> done.handover().isPresent();
      case GrantResult.HolderEnded ended -> true;
      case GrantResult.Outdated outdated -> false;
      case GrantResult.NotSent notSent -> false;
      case GrantResult.Unanswered unanswered -> false;
    };
  }

  private void callEnded(
      boolean isConfirmed,
      String call,
      Holder holder,
      KeyRange range,
      long fence,
      GrantResult result,
      Duration took) {
    EventCode code =
        isConfirmed
            ? EventCode.KEY_GRANT_OR_RELEASE_CONFIRMED
            : EventCode.KEY_GRANT_OR_RELEASE_FAILED;
    log.log(
        code,
        ImmutableMap.<String, Object>builder()
            .put("call", call)
            .put("upstream", holder.upstream())
            .put("started", holder.startedMillis())
            .put("range", range)
            .put("fence", fence)
            .put("took_ms", took.toMillis())
            .put("outcome", describe(result))
            .buildOrThrow());
  }

  private static String describe(GrantResult result) {
    return switch (result) {
      case GrantResult.Done done -> done.handover().isPresent() ? "done with handover" : "done";
      case GrantResult.HolderEnded ended -> "another upstream at the address";
      case GrantResult.Outdated outdated -> "outdated fence";
      case GrantResult.NotSent notSent -> "not sent: " + notSent.reason();
      case GrantResult.Unanswered unanswered -> "no answer: " + unanswered.reason();
    };
  }

  private static String format(Collection<Holder> holders) {
    return holders.stream().map(KeyEventLog::format).collect(Collectors.joining(" "));
  }

  private static String format(Holder holder) {
    return holder.upstream() + "@" + holder.startedMillis();
  }

  private static String format(EndedHold ended) {
    String cause =
        switch (ended.cause()) {
          case EndedHold.Cause.Released released -> "released";
          case EndedHold.Cause.Expired expired -> "expired_ms_ago=" + expired.ago().toMillis();
          case EndedHold.Cause.NoKnownHold none -> "no_known_hold";
        };
    return format(ended.holder()) + ":" + cause;
  }
}
