package org.catkinlift.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Set;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.model.UpstreamId;

/**
 * The status line and headers of an upstream's response.
 *
 * @param response the head as received
 * @param names the configured header names
 */
record ResponseHead(HttpResponse response, HeaderNames names) {
  private static final int SUCCESS_CLASS = 2;

  int status() {
    return response.status().code();
  }

  /** Returns whether the upstream states that it did not execute the request. */
  boolean isNotExecuted() {
    return response.headers().contains(names.notExecuted());
  }

  /** Returns whether the response names an upstream other than the expected one. */
  boolean isFromOtherUpstream(UpstreamId expected) {
    String name = response.headers().get(names.answeringUpstream());
    return name != null && !name.equals(expected.value());
  }

  /**
   * Returns whether the response may be forwarded to the caller. If the request was not executed,
   * it is retried or refused instead; a 2xx response must carry the upstream's signature header.
   */
  boolean isForwardable() {
    boolean isSuccess = status() / 100 == SUCCESS_CLASS;
    return !isNotExecuted() && (!isSuccess || response.headers().contains(names.signature()));
  }

  /** Returns the headers to forward to the caller, including the request id. */
  HttpHeaders forwardedHeaders(String requestId) {
    HttpHeaders headers = HopByHopHeaders.copyEndToEnd(response.headers(), Set.of());
    if (!headers.contains(names.requestId())) {
      headers.set(names.requestId(), requestId);
    }
    return headers;
  }
}
