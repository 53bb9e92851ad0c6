package org.catkinlift.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Locale;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestId;

/**
 * Writes refusals to callers: the status, whether the request may have been executed, and when to
 * retry.
 */
final class RefusalWriter {
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final ObjectMapper JSON = new ObjectMapper();

  private RefusalWriter() {}

  static void write(HttpServerResponse response, RequestId id, Outcome outcome) {
    switch (outcome) {
      case Outcome.NotRun n -> writeNotRun(response, id, n);
      case Outcome.Unknown u ->
          write(response, GATEWAY_TIMEOUT, body(id, u.code(), Headers.UNKNOWN), Headers.UNKNOWN);
      case Outcome.Answered a ->
          throw new IllegalArgumentException("an answered request has no refusal response");
    }
  }

  static void writeMalformed(HttpServerResponse response, RequestId id, String reason) {
    response.putHeader(Headers.REQUEST_ID, id.value());
    write(
        response,
        BAD_REQUEST,
        body(id, RefusalCode.BAD_REQUEST, Headers.NOT_RUN).put("detail", reason),
        Headers.NOT_RUN);
  }

  private static void writeNotRun(
      HttpServerResponse response, RequestId id, Outcome.NotRun outcome) {
    Duration retryAfter = outcome.retryAfter();
    ObjectNode body =
        body(id, outcome.code(), Headers.NOT_RUN).put("retryAfterMillis", retryAfter.toMillis());
    int status =
        switch (outcome.code()) {
          case BAD_REQUEST -> BAD_REQUEST;
          case UNKNOWN_SERVICE -> NOT_FOUND;
          default -> UNAVAILABLE;
        };
    if (status == UNAVAILABLE) {
      // Retry-After has a resolution of one second; the body states milliseconds.
      long seconds = Math.max(1, (retryAfter.toMillis() + 999) / 1000);
      response.putHeader("Retry-After", Long.toString(seconds));
    }
    write(response, status, body, Headers.NOT_RUN);
  }

  private static ObjectNode body(RequestId id, RefusalCode code, String outcome) {
    return JSON.createObjectNode()
        .put("code", code.name().toLowerCase(Locale.ROOT).replace('_', '-'))
        .put("outcome", outcome)
        .put("requestId", id.value());
  }

  private static void write(
      HttpServerResponse response, int status, ObjectNode body, String outcome) {
    var unused =
        response
            .setStatusCode(status)
            .putHeader(Headers.OUTCOME, outcome)
            .putHeader("Content-Type", "application/json")
            .end(body.toString());
  }
}
