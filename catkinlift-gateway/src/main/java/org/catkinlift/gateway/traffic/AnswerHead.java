package org.catkinlift.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Set;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.model.UpstreamId;

/**
 * The head of an upstream's answer.
 *
 * @param answer the head as it came
 * @param names the names of headers
 */
record AnswerHead(HttpResponse answer, HeaderNames names) {
  private static final int SUCCESS_GROUP = 2;

  int status() {
    return answer.status().code();
  }

  /** Tells whether the upstream states that it did not execute the request. */
  boolean isNotExecuted() {
    return answer.headers().contains(names.notExecuted());
  }

  /** Tells whether another upstream than the expected one answers. */
  boolean isFromOther(UpstreamId expected) {
    String name = answer.headers().get(names.answeringUpstream());
    return name != null && !name.equals(expected.value());
  }

  /** Tells whether the answer may be passed on; a success needs the upstream's signature. */
  boolean isFinal() {
    boolean isSuccess = status() / 100 == SUCCESS_GROUP;
    return !isNotExecuted() && (!isSuccess || answer.headers().contains(names.signature()));
  }

  /** Returns the headers that are passed on. */
  HttpHeaders headersFor(String requestId) {
    HttpHeaders headers = HopHeaders.endToEnd(answer.headers(), Set.of());
    if (!headers.contains(names.requestId())) {
      headers.set(names.requestId(), requestId);
    }
    return headers;
  }
}
