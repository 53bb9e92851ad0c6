package org.catkinlift.bench.traffic;

import java.util.function.Consumer;

/** Carries requests from callers to upstreams: the decisions under test or a plain baseline. */
interface RequestPath {

  /**
   * Takes a request that arrived at an entry daemon.
   *
   * @param request the request
   * @param reply receives what the caller is told, once
   */
  void submit(CallerRequest request, Consumer<CallerReply> reply);
}
