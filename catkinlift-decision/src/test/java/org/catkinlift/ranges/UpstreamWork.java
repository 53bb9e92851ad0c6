package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * The requests that one run of an upstream executes, and the releases that wait for their end.
 *
 * <p>A release waits for the executions that were running when it was applied, whether an earlier
 * release waits for them too or not. It does not wait for those that begin later under a new grant.
 */
final class UpstreamWork {
  private static final GrantResult CONFIRMED = new GrantResult.Done(Optional.of("handover"));
  private static final GrantResult CONNECTION_CLOSED =
      new GrantResult.Unanswered("connection closed");

  private final Map<Long, Execution> running = new LinkedHashMap<>();
  private final List<WaitingRelease> waiting = new ArrayList<>();
  private long lastId;

  /**
   * An execution of a request.
   *
   * @param id identifies the execution; a request that is executed again has another one
   * @param key the key of the request
   * @param releasedHold the hold as it was before its release, or no hold before a release
   */
  record Execution(long id, int key, KeyHold releasedHold) {
    /** Keeps the hold that a release ends, to know when it would have expired. */
    private Execution released(KeyHold hold) {
      return new Execution(id, key, releasedHold.or(hold));
    }
  }

  /** A release without an answer. */
  private record WaitingRelease(ImmutableSet<Long> executions, Consumer<GrantResult> answer) {}

  /** Starts an execution and returns its identifier. */
  long start(int key) {
    lastId++;
    running.put(lastId, new Execution(lastId, key, KeyHold.NONE));
    return lastId;
  }

  /**
   * Ends an execution and answers the releases that waited for nothing else.
   *
   * @return the execution, or empty if it ended with the run of the upstream
   */
  Optional<Execution> end(long id) {
    Optional<Execution> ended = Optional.ofNullable(running.remove(id));
    List<WaitingRelease> answered = new ArrayList<>();
    for (Iterator<WaitingRelease> releases = waiting.iterator(); releases.hasNext(); ) {
      WaitingRelease release = releases.next();
      if (release.executions().stream().noneMatch(running::containsKey)) {
        releases.remove();
        answered.add(release);
      }
    }
    answered.forEach(r -> r.answer().accept(CONFIRMED));
    return ended;
  }

  /** Ends all executions, and closes the connections of the releases that wait. */
  void abort() {
    List<WaitingRelease> aborted = ImmutableList.copyOf(waiting);
    running.clear();
    waiting.clear();
    aborted.forEach(r -> r.answer().accept(CONNECTION_CLOSED));
  }

  /**
   * Records a release.
   *
   * @param holdOfKey returns the hold of a key that the release ends
   * @param answer receives the result at the end of the executions that are running on the keys
   */
  void released(KeyRange range, IntFunction<KeyHold> holdOfKey, Consumer<GrantResult> answer) {
    ImmutableList<Execution> concerned =
        running.values().stream()
            .filter(e -> range.contains(e.key()))
            .collect(ImmutableList.toImmutableList());
    if (concerned.isEmpty()) {
      answer.accept(CONFIRMED);
      return;
    }
    concerned.forEach(e -> running.put(e.id(), e.released(holdOfKey.apply(e.key()))));
    ImmutableSet<Long> ids =
        concerned.stream().map(Execution::id).collect(ImmutableSet.toImmutableSet());
    waiting.add(new WaitingRelease(ids, answer));
  }

  /** Returns the executions that are running on a key. */
  ImmutableList<Execution> on(int key) {
    return running.values().stream()
        .filter(e -> e.key() == key)
        .collect(ImmutableList.toImmutableList());
  }
}
