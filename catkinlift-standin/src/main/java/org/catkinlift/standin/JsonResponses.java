package org.catkinlift.standin;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Ends the requests of stand-ins with JSON documents. */
public final class JsonResponses {
  private JsonResponses() {}

  /**
   * Ends a request, unless its caller has gone.
   *
   * @param request the request
   * @param status the HTTP status
   * @param body the document
   */
  public static void end(HttpServerRequest request, int status, String body) {
    end(request, status, Buffer.buffer(body));
  }

  /**
   * Ends a request, unless its caller has gone.
   *
   * @param request the request
   * @param status the HTTP status
   * @param body the document
   */
  public static void end(HttpServerRequest request, int status, Buffer body) {
    if (request.response().closed()) {
      return;
    }
    var unused =
        request
            .response()
            .setStatusCode(status)
            .putHeader("Content-Type", "application/json")
            .end(body);
  }
}
