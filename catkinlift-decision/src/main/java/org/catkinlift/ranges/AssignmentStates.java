package org.catkinlift.ranges;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The states of all assignments of a map, in key order. A state is found by its keys without a pass
 * over all states, because a round of planning asks for each assignment. Confined to the control
 * thread.
 */
final class AssignmentStates {
  private final List<AssignmentState> states;

  private AssignmentStates(List<AssignmentState> states) {
    this.states = states;
  }

  static AssignmentStates none() {
    return new AssignmentStates(new ArrayList<>());
  }

  /** Creates the collection from states in key order. */
  static AssignmentStates of(List<AssignmentState> states) {
    return new AssignmentStates(new ArrayList<>(states));
  }

  Stream<AssignmentState> stream() {
    return states.stream();
  }

  int size() {
    return states.size();
  }

  /** Returns the state that covers an assignment, or a part of it under the same fencing token. */
  Optional<AssignmentState> covering(RangeAssignment assignment) {
    KeyRange range = assignment.range();
    for (int i = firstIndexNotBefore(range);
        i < states.size() && states.get(i).assignment().range().first() <= range.last();
        i++) {
      if (states.get(i).covers(assignment)) {
        return Optional.of(states.get(i));
      }
    }
    return Optional.empty();
  }

  /** Returns the index of the first state whose range does not end before another range begins. */
  private int firstIndexNotBefore(KeyRange range) {
    int low = 0;
    int high = states.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (states.get(middle).assignment().range().last() < range.first()) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
