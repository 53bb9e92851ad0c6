package org.catkinlift.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Sends a request and reads its whole response, which is bounded in size and time. If it exceeds a
 * bound, the request is reset, which closes its connection.
 */
public final class ShortExchange {
  private static final int MIN_FINAL_STATUS = 200;

  private ShortExchange() {}

  /**
   * A complete response.
   *
   * @param status the HTTP status
   * @param body the body
   */
  public record Response(int status, Buffer body) {}

  /**
   * Sends a request.
   *
   * @param request the request
   * @param body the body; empty for none
   * @param maxBodyBytes the maximum size of the response body, in bytes
   * @param timeout the maximum time from sending to the end of the response
   * @return the response; fails if there is none within the bounds
   */
  public static Future<Response> send(
      HttpClientRequest request, Buffer body, int maxBodyBytes, Duration timeout) {
    // Registered before the request is sent. Otherwise a thread other than the event loop may
    // register it after the response has arrived, and the body would be lost.
    Future<Response> response = request.response().compose(r -> read(r, maxBodyBytes));
    return request
        .end(body)
        .compose(sent -> response)
        .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .onFailure(failure -> reset(request));
  }

  private static Future<Response> read(HttpClientResponse response, int maxBodyBytes) {
    if (!isFinal(response)) {
      return Future.failedFuture("no final response: status " + response.statusCode());
    }
    Promise<Response> result = Promise.promise();
    Buffer body = Buffer.buffer();
    response.exceptionHandler(result::tryFail);
    response.handler(
        part -> {
          if (part.length() > maxBodyBytes - body.length()) {
            result.tryFail("response body exceeds " + maxBodyBytes + " bytes");
            reset(response.request());
          } else {
            body.appendBuffer(part);
          }
        });
    response.endHandler(end -> result.tryComplete(new Response(response.statusCode(), body)));
    return result.future();
  }

  /**
   * Returns whether a response is final. The client takes some informational responses for the
   * final one.
   *
   * @param response the response
   * @return whether its status is 200 or above
   */
  public static boolean isFinal(HttpClientResponse response) {
    return response.statusCode() >= MIN_FINAL_STATUS;
  }

  /**
   * Reads and discards the rest of a response.
   *
   * @param response the response
   * @param timeout the time after which its connection is closed
   */
  public static void discard(HttpClientResponse response, Duration timeout) {
    response
        .resume()
        .end()
        .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .onFailure(failure -> reset(response.request()));
  }

  private static void reset(HttpClientRequest request) {
    var unused = request.reset();
  }
}
