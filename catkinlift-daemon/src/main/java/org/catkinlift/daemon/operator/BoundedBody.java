package org.catkinlift.daemon.operator;

import com.google.common.primitives.Longs;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;

/** Reads the body of a request with a limit on its size. */
final class BoundedBody {
  private final int limit;
  private final Buffer body = Buffer.buffer();
  private final Promise<Buffer> result = Promise.promise();

  private BoundedBody(int limit) {
    this.limit = limit;
  }

  /**
   * Reads a body.
   *
   * @param request the request; its body must not have been read
   * @param limit the maximum size in bytes
   * @return the body; fails with {@code BODY_TOO_LARGE} as soon as the declared or received length
   *     exceeds the limit
   */
  static Future<Buffer> read(HttpServerRequest request, int limit) {
    String lengthHeader = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    Long length = lengthHeader == null ? null : Longs.tryParse(lengthHeader);
    if (length != null && length > limit) {
      return Future.failedFuture(tooLarge(limit));
    }
    var body = new BoundedBody(limit);
    request.handler(body::receive);
    request.endHandler(v -> body.result.tryComplete(body.body));
    request.exceptionHandler(body.result::tryFail);
    return body.result.future();
  }

  private void receive(Buffer chunk) {
    if (body.length() + chunk.length() > limit) {
      result.tryFail(tooLarge(limit));
      return;
    }
    body.appendBuffer(chunk);
  }

  private static OperatorException tooLarge(int limit) {
    return new OperatorException(
        OperatorException.Code.BODY_TOO_LARGE, "body exceeds " + limit + " bytes");
  }
}
