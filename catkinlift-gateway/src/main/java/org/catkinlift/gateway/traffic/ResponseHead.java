package org.catkinlift.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Set;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.model.UpstreamId;

/**
 * The head of an upstream's answer.
 *
 * @param response the head as it came
 * @param names the names of headers
 */
record ResponseHead(HttpResponse response, HeaderNames names) {
  private static final int SUCCESS_CLASS = 2;

  int status() {
    return response.status().code();
  }

  /** Tells whether the upstream states that it did not execute the request. */
  boolean isNotExecuted() {
    return response.headers().contains(names.notExecuted());
  }

  /** Tells whether another upstream than the expected one answers. */
  boolean isFromOtherUpstream(UpstreamId expected) {
    String name = response.headers().get(names.answeringUpstream());
    return name != null && !name.equals(expected.value());
  }

  /** Tells whether the answer may be passed on; a success needs the upstream's signature. */
  boolean isForwardable() {
    boolean isSuccess = status() / 100 == SUCCESS_CLASS;
    return !isNotExecuted() && (!isSuccess || response.headers().contains(names.signature()));
  }

  /** Returns the headers that are passed on. */
  HttpHeaders forwardedHeaders(String requestId) {
    HttpHeaders headers = HopByHopHeaders.copyEndToEnd(response.headers(), Set.of());
    if (!headers.contains(names.requestId())) {
      headers.set(names.requestId(), requestId);
    }
    return headers;
  }
}
