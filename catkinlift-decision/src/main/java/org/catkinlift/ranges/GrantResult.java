package org.catkinlift.ranges;

import java.util.Optional;

/** The result of a grant or release call to an upstream. */
public sealed interface GrantResult {

  /**
   * The upstream applied the call.
   *
   * @param handover data from the releasing upstream for the next holder of the keys; present in
   *     every answer to a release
   */
  record Done(Optional<String> handover) implements GrantResult {}

  /** Another upstream answered at the address, so the one that the call was meant for has ended. */
  record HolderEnded() implements GrantResult {}

  /** The upstream rejected the call because it has seen a higher fencing token. */
  record Outdated() implements GrantResult {}

  /**
   * The call cannot have reached the upstream.
   *
   * @param reason the reason, for logs
   */
  record NotSent(String reason) implements GrantResult {}

  /**
   * The upstream may have applied the call, or may apply it later.
   *
   * @param reason the reason, for logs
   */
  record Unanswered(String reason) implements GrantResult {}

  /** Returns whether the upstream is known to have taken the call, whatever it answered. */
  default boolean isAnswered() {
    return switch (this) {
      case Done done -> true;
      case HolderEnded ended -> true;
      case Outdated outdated -> true;
      case NotSent notSent -> false;
      case Unanswered unanswered -> false;
    };
  }
}
