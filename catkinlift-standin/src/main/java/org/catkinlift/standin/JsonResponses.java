package org.catkinlift.standin;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Sends JSON responses of the stand-ins. */
public final class JsonResponses {
  private JsonResponses() {}

  /**
   * Sends the response to a request, unless the connection is closed.
   *
   * @param request the request
   * @param status the HTTP status
   * @param body the JSON document
   */
  public static void end(HttpServerRequest request, int status, String body) {
    end(request, status, Buffer.buffer(body));
  }

  /**
   * Sends the response to a request, unless the connection is closed.
   *
   * @param request the request
   * @param status the HTTP status
   * @param body the JSON document
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
