package org.catkinlift.bench.traffic;

import java.util.function.Consumer;

/** Forwards requests from callers to upstreams, by the router under test or by a baseline. */
interface RequestPath {

  /**
   * Accepts a request that arrived at an entry daemon.
   *
   * @param request the request
   * @param reply receives the reply to the caller; called once
   */
  void submit(CallerRequest request, Consumer<CallerReply> reply);
}
