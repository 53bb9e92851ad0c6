package org.catkinlift.control;

import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;

/** A control request to an upstream. */
public sealed interface UpstreamRequest {

  /**
   * Grants or renews the ownership of slots; replaces the earlier grant of this service.
   *
   * @param service the service
   * @param instance identifies the run of the upstream's process to which the grant applies
   * @param sequence orders the grants to this upstream: term first, then a counter
   * @param expiresAtMillis when the grant expires, by the upstream's own clock
   * @param dispatcher the only daemon whose requests the upstream may accept
   * @param slots the granted slots with their epochs
   * @param overrides the granted keys that are placed independently of their slot, with their
   *     epochs
   */
  record Grant(
      ServiceName service,
      String instance,
      Epoch sequence,
      long expiresAtMillis,
      HostId dispatcher,
      ImmutableSortedMap<Integer, Epoch> slots,
      ImmutableSortedMap<String, Epoch> overrides)
      implements UpstreamRequest {}

  /**
   * Requests that the upstream releases slots once its running requests for them have ended.
   *
   * @param service the service
   * @param sequence orders this request among the grants
   * @param slots the slots to release
   * @param overrides the keys to release
   */
  record Release(
      ServiceName service,
      Epoch sequence,
      ImmutableSortedSet<Integer> slots,
      ImmutableSortedSet<String> overrides)
      implements UpstreamRequest {}

  /** Requests the instance and the clock reading of the upstream. */
  record Probe() implements UpstreamRequest {}

  /** An upstream's answer to a control request. */
  sealed interface Reply {

    /**
     * The answer to a {@link Probe}.
     *
     * @param instance identifies the run of the upstream's process
     * @param clockMillis the reading of the upstream's clock
     * @param sequence the latest sequence that it has seen since its start
     */
    record Probed(String instance, long clockMillis, Epoch sequence) implements Reply {}

    /**
     * The grant is in force.
     *
     * @param instance identifies the run of the upstream's process; changes on restart
     * @param clockMillis the reading of the upstream's clock
     * @param sequence the sequence of the grant in force
     */
    record Granted(String instance, long clockMillis, Epoch sequence) implements Reply {}

    /**
     * The slots are released; no requests for them are running.
     *
     * @param instance identifies the run of the upstream's process
     * @param clockMillis the reading of the upstream's clock
     * @param sequence the sequence of the release request
     */
    record Released(String instance, long clockMillis, Epoch sequence) implements Reply {}

    /**
     * The release is accepted, but requests for these slots are still running.
     *
     * @param instance identifies the run of the upstream's process
     * @param clockMillis the reading of the upstream's clock
     * @param sequence the sequence of the release request
     */
    record Releasing(String instance, long clockMillis, Epoch sequence) implements Reply {}

    /**
     * The upstream has seen a later sequence, or the request names an earlier instance.
     *
     * @param instance identifies the run of the upstream's process
     * @param clockMillis the reading of the upstream's clock
     * @param newest the latest sequence that it has seen
     */
    record Outdated(String instance, long clockMillis, Epoch newest) implements Reply {}

    /** No answer arrived. */
    record NoAnswer() implements Reply {}
  }
}
