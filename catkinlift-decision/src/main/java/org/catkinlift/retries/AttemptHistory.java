package org.catkinlift.retries;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.catkinlift.model.UpstreamId;

/**
 * The upstreams that may have executed a request, according to all attempts so far.
 *
 * <p>Attempts are made one after another. The outcome of an attempt says nothing about earlier
 * attempts, even those at the same upstream: if one of them has an unknown outcome, the upstream
 * may have executed the request.
 */
public final class AttemptHistory {
  /** The history of a request that was not sent. */
  public static final AttemptHistory NONE = new AttemptHistory(ImmutableSet.of(), Optional.empty());

  private final ImmutableSet<UpstreamId> unknownOutcomes;
  private final Optional<UpstreamId> pending;

  private AttemptHistory(ImmutableSet<UpstreamId> unknownOutcomes, Optional<UpstreamId> pending) {
    this.unknownOutcomes = unknownOutcomes;
    this.pending = pending;
  }

  /**
   * Returns the history with a new attempt. The outcome of an attempt that is still pending remains
   * unknown.
   *
   * @param upstream the upstream to which the request is sent
   * @return the new history
   */
  public AttemptHistory sent(UpstreamId upstream) {
    return new AttemptHistory(possibleExecutors(), Optional.of(upstream));
  }

  /**
   * Returns the history after the upstream of the pending attempt has stated that it did not
   * execute the request.
   *
   * @return the new history
   */
  public AttemptHistory notExecuted() {
    return new AttemptHistory(unknownOutcomes, Optional.empty());
  }

  /**
   * Returns the history after the pending attempt has ended without a usable response.
   *
   * @return the new history
   */
  public AttemptHistory outcomeUnknown() {
    return new AttemptHistory(possibleExecutors(), Optional.empty());
  }

  /**
   * Returns whether an upstream may have executed the request.
   *
   * @return false if the caller may be told that the request was not executed
   */
  public boolean mayHaveBeenExecuted() {
    return !possibleExecutors().isEmpty();
  }

  /**
   * Returns the upstreams that may have executed the request.
   *
   * @return the upstreams, each listed once
   */
  public ImmutableSet<UpstreamId> possibleExecutors() {
    ImmutableSet.Builder<UpstreamId> upstreams = ImmutableSet.builder();
    upstreams.addAll(unknownOutcomes);
    pending.ifPresent(upstreams::add);
    return upstreams.build();
  }
}
