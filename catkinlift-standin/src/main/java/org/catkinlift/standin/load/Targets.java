package org.catkinlift.standin.load;

import com.google.common.collect.ImmutableList;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.routing.KeyHasher;
import org.catkinlift.standin.upstream.Task;

/** The servers that receive the requests of a load test. */
public sealed interface Targets {

  /** The slot count for spreading keys over upstreams without a router, as for a keyed service. */
  int DIRECT_SLOTS = 1_024;

  /**
   * Sends requests to daemons in round-robin order.
   *
   * @param daemons the addresses on which daemons accept callers
   * @param keyed the service of lookups and orders
   * @param shared the service of downloads
   */
  record Router(ImmutableList<NetworkAddress> daemons, ServiceName keyed, ServiceName shared)
      implements Targets {}

  /**
   * Sends requests directly to upstreams: lookups and orders by key hash, downloads round-robin.
   *
   * @param keyed the direct addresses of the upstreams for lookups and orders
   * @param shared the direct addresses of the upstreams for downloads
   */
  record Direct(ImmutableList<NetworkAddress> keyed, ImmutableList<NetworkAddress> shared)
      implements Targets {}

  /**
   * The destination of one request.
   *
   * @param address the server
   * @param uri the path and query
   */
  record Destination(NetworkAddress address, String uri) {}

  /**
   * Returns the destination of a request.
   *
   * @param request the request
   * @return the destination
   */
  default Destination destinationOf(PlannedRequest request) {
    return switch (this) {
      case Router r ->
          new Destination(
              roundRobin(r.daemons(), request),
              "/v1/"
                  + (request.task() instanceof Task.Download ? r.shared() : r.keyed())
                  + "/"
                  + encoded(request.task().key())
                  + upstreamUri(request.task()));
      case Direct d -> new Destination(directAddress(d, request), upstreamUri(request.task()));
    };
  }

  private static NetworkAddress directAddress(Direct direct, PlannedRequest request) {
    if (request.task() instanceof Task.Download) {
      return roundRobin(direct.shared(), request);
    }
    int slot = KeyHasher.slotOf(request.task().key(), DIRECT_SLOTS);
    return direct.keyed().get(slot % direct.keyed().size());
  }

  private static NetworkAddress roundRobin(
      ImmutableList<NetworkAddress> addresses, PlannedRequest request) {
    return addresses.get((int) (request.number() % addresses.size()));
  }

  private static String upstreamUri(Task task) {
    return switch (task) {
      case Task.Lookup t -> "/lookup/" + encoded(t.key());
      case Task.Order t -> "/orders/" + encoded(t.key());
      case Task.Download t -> "/files/" + encoded(t.name()) + "?bytes=" + t.bytes();
    };
  }

  private static String encoded(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
