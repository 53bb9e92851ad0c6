package org.catkinlift.daemon.http;

import com.google.common.collect.ImmutableListMultimap;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.protocol.RelayHead;

/**
 * Builds the relay heads for the attempts of one request, which differ in upstream and remaining
 * time.
 */
final class RelayHeadFactory {
  private final RequestDescription description;
  private final String method;
  private final String target;
  private final ImmutableListMultimap<String, String> headers;
  private final boolean hasBody;

  /**
   * Creates the factory for one request.
   *
   * @param parsed the parsed request of the caller
   * @param request provides the method and headers
   * @param hasBody whether the request has a body
   */
  RelayHeadFactory(
      RequestParser.Parsed.Request parsed, HttpServerRequest request, boolean hasBody) {
    this.description = parsed.description();
    this.method = request.method().name();
    this.target = parsed.target();
    this.headers = Headers.forwarded(request.headers());
    this.hasBody = hasBody;
  }

  /**
   * Builds the head of one attempt.
   *
   * @param upstream the chosen upstream
   * @param slot the slot of the key, or -1 for a service without slots
   * @param epoch the epoch of the slot's owner
   * @param remaining the time until the deadline of the request
   * @return the head
   */
  RelayHead create(UpstreamId upstream, int slot, Epoch epoch, Duration remaining) {
    return RelayHead.builder()
        .request(description.withDeadline(remaining))
        .upstream(upstream)
        .slot(slot)
        .epoch(epoch)
        .method(method)
        .target(target)
        .headers(headers)
        .hasBody(hasBody)
        .build();
  }
}
