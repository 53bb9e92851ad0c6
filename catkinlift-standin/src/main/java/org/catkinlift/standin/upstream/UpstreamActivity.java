package org.catkinlift.standin.upstream;

import com.google.common.collect.ImmutableList;
import java.util.OptionalLong;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.UpstreamId;

/**
 * The recorded activity of an upstream, for comparison with the responses that callers received.
 *
 * <p>All times are readings of the process's monotonic clock, so the records of upstreams in the
 * same process are comparable.
 *
 * @param upstream the upstream
 * @param executions the executions, in order of their start
 * @param ownerships the periods during which it considered itself the owner of a slot or key
 */
public record UpstreamActivity(
    UpstreamId upstream, ImmutableList<Execution> executions, ImmutableList<Ownership> ownerships) {

  /**
   * One execution of a request.
   *
   * @param work the request
   * @param instance the instance of the upstream that ran it
   * @param startNanos when it started
   * @param endNanos when it ended; empty while it is running
   */
  public record Execution(Work work, String instance, long startNanos, OptionalLong endNanos) {}

  /**
   * A period during which the upstream considered itself the owner of a slot or a key.
   *
   * @param subject {@code <service>/<slot>}, or {@code <service>/key/<key>} for an override
   * @param epoch the granted epoch
   * @param startNanos when the grant was received
   * @param endNanos when the grant expired by the upstream's clock, or earlier if it was released
   */
  public record Ownership(String subject, Epoch epoch, long startNanos, long endNanos) {}
}
