package org.catkinlift.standin.upstream;

import com.google.common.collect.ImmutableList;
import java.util.OptionalLong;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.UpstreamId;

/**
 * What an upstream remembers of its own work, for comparison with what callers were told.
 *
 * <p>All times are readings of the process's monotonic clock, so records of upstreams of one
 * process can be compared.
 *
 * @param upstream the upstream
 * @param executions the executions, in order of their start
 * @param ownerships when it believed to own which slot
 */
public record UpstreamActivity(
    UpstreamId upstream, ImmutableList<Execution> executions, ImmutableList<Ownership> ownerships) {

  /**
   * One execution of a request.
   *
   * @param work the request
   * @param instance the run of the upstream
   * @param startNanos when it started
   * @param endNanos when it ended; empty while it runs
   */
  public record Execution(Work work, String instance, long startNanos, OptionalLong endNanos) {}

  /**
   * A time in which the upstream believed to own a slot or a key.
   *
   * @param subject {@code <service>/<slot>}, or {@code <service>/key/<key>} for an override
   * @param epoch the granted epoch
   * @param startNanos when the grant arrived
   * @param endNanos when it expired by the upstream's clock or was given up
   */
  public record Ownership(String subject, Epoch epoch, long startNanos, long endNanos) {}
}
