package org.catkinlift.ranges;

import java.time.Duration;
import org.catkinlift.upstreams.UpstreamRecord;

/** An event of a simulation that bears on who holds a key. */
sealed interface SimulationEvent {
  /** Returns whether the event bears on the holder of a key. */
  boolean concerns(int key);

  /**
   * A host has taken the coordinator role.
   *
   * @param host the index of the host
   */
  record RoleTaken(int host) implements SimulationEvent {
    @Override
    public boolean concerns(int key) {
      return true;
    }
  }

  /**
   * The store was restored from an older copy.
   *
   * @param era the era that has begun
   * @param age the age of the copy
   */
  record StoreRestored(long era, Duration age) implements SimulationEvent {
    @Override
    public boolean concerns(int key) {
      return true;
    }
  }

  /**
   * A process of an upstream has started.
   *
   * @param record its record
   */
  record ProcessStarted(UpstreamRecord record) implements SimulationEvent {
    @Override
    public boolean concerns(int key) {
      return true;
    }

    @Override
    public String toString() {
      return "started " + record.id() + "/" + record.startedMillis();
    }
  }

  /**
   * A process of an upstream has ended.
   *
   * @param record its record
   */
  record ProcessEnded(UpstreamRecord record) implements SimulationEvent {
    @Override
    public boolean concerns(int key) {
      return true;
    }

    @Override
    public String toString() {
      return "ended " + record.id() + "/" + record.startedMillis();
    }
  }

  /**
   * A map was written.
   *
   * @param host the index of the host that wrote it
   * @param map the map
   */
  record MapWritten(int host, RangeMap map) implements SimulationEvent {
    @Override
    public boolean concerns(int key) {
      return true;
    }

    @Override
    public String toString() {
      return "host " + host + " wrote a map with " + map.assignments().size() + " ranges";
    }

    /** Returns the assignment of a key in the map. */
    String assignmentOf(int key) {
      return map.find(key).map(MapWritten::describe).orElse("not assigned");
    }

    private static String describe(RangeAssignment assignment) {
      return "%s to %s fence %d after %s"
          .formatted(
              assignment.range(),
              CallSent.describe(assignment.holder()),
              assignment.fence(),
              assignment.previousHolders().stream().map(CallSent::describe).toList());
    }
  }

  /**
   * A host has sent a call to an upstream.
   *
   * @param host the index of the host
   * @param call the call
   */
  record CallSent(int host, RangeAction call) implements SimulationEvent {
    @Override
    public boolean concerns(int key) {
      return switch (call) {
        case RangeAction.Grant grant -> grant.assignment().range().contains(key);
        case RangeAction.Release release -> release.range().contains(key);
        case RangeAction.ReadMap read -> false;
        case RangeAction.WriteMap write -> false;
      };
    }

    @Override
    public String toString() {
      return "host " + host + " sent " + describe(call);
    }

    private static String describe(Holder holder) {
      return holder.upstream() + "/" + holder.startedMillis();
    }

    private static String describe(RangeAction call) {
      return switch (call) {
        case RangeAction.Grant grant ->
            "grant %d of %s to %s fence %d for %s"
                .formatted(
                    grant.callId(),
                    grant.assignment().range(),
                    describe(grant.assignment().holder()),
                    grant.assignment().fence(),
                    grant.duration());
        case RangeAction.Release release ->
            "release %d of %s from %s fence %d"
                .formatted(
                    release.callId(), release.range(), describe(release.from()), release.fence());
        case RangeAction.ReadMap read -> "read of the map";
        case RangeAction.WriteMap write -> "write of the map";
      };
    }
  }

  /**
   * An upstream has stopped new work on keys because of a release, which it has not answered yet.
   *
   * @param process the process that the release arrived at
   * @param sent the release as it was sent
   */
  record ReleaseStarted(UpstreamProcess process, CallSent sent) implements SimulationEvent {
    @Override
    public boolean concerns(int key) {
      return sent.concerns(key);
    }

    @Override
    public String toString() {
      return "%s/%d: stopped for %s".formatted(process.id(), process.startedMillis(), sent);
    }
  }

  /**
   * An upstream has started to execute a request.
   *
   * @param process the process
   * @param key the key of the request
   * @param request identifies the request, which may be executed more than once
   */
  record WorkStarted(UpstreamProcess process, int key, long request) implements SimulationEvent {
    @Override
    public boolean concerns(int other) {
      return key == other;
    }

    @Override
    public String toString() {
      return "%s/%d: started request %d".formatted(process.id(), process.startedMillis(), request);
    }
  }

  /**
   * An upstream has executed a request.
   *
   * @param process the process
   * @param key the key of the request
   * @param request identifies the request
   * @param status the status of the response
   */
  record WorkEnded(UpstreamProcess process, int key, long request, int status)
      implements SimulationEvent {
    @Override
    public boolean concerns(int other) {
      return key == other;
    }

    @Override
    public String toString() {
      return "%s/%d: ended request %d with %d"
          .formatted(process.id(), process.startedMillis(), request, status);
    }
  }

  /**
   * An upstream has applied or refused a call.
   *
   * @param process the process that the call arrived at
   * @param sent the call as it was sent
   * @param sentNanos when it was sent
   * @param arrivedNanos when it arrived
   * @param result the result
   */
  record CallApplied(
      UpstreamProcess process, CallSent sent, long sentNanos, long arrivedNanos, GrantResult result)
      implements SimulationEvent {
    @Override
    public boolean concerns(int key) {
      return sent.concerns(key);
    }

    @Override
    public String toString() {
      return "%s/%d: %s, which %s after %d ms"
          .formatted(
              process.id(),
              process.startedMillis(),
              result.getClass().getSimpleName(),
              sent,
              Duration.ofNanos(arrivedNanos - sentNanos).toMillis());
    }
  }

  /**
   * A host has received the result of a call.
   *
   * @param sent the call
   * @param result the result
   */
  record CallEnded(CallSent sent, GrantResult result) implements SimulationEvent {
    @Override
    public boolean concerns(int key) {
      return sent.concerns(key);
    }

    @Override
    public String toString() {
      return "result " + result.getClass().getSimpleName() + ": " + sent;
    }
  }
}
