package org.catkinlift.ranges;

import java.util.function.Consumer;

/** Applies a call that has arrived at an upstream. */
interface CallApplication {
  /**
   * Applies the call.
   *
   * @param answer receives the result when the upstream answers, which may be later or never
   */
  void apply(Consumer<GrantResult> answer);
}
