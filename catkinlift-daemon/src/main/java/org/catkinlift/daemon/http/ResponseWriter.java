package org.catkinlift.daemon.http;

import com.google.common.collect.ImmutableListMultimap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.catkinlift.daemon.relay.AttemptStream;

/** Streams one answer to a caller, as fast as the caller reads it. */
final class ResponseWriter {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final HttpServerRequest request;
  private final HttpServerResponse response;

  ResponseWriter(HttpServerRequest request) {
    this.request = request;
    this.response = request.response();
  }

  void writeHead(int status, ImmutableListMultimap<String, String> headers) {
    response.setStatusCode(status);
    headers.entries().forEach(h -> response.headers().add(h.getKey(), h.getValue()));
    boolean bodyless = status == NO_CONTENT || status == NOT_MODIFIED;
    if (!headers.containsKey("content-length") && !bodyless) {
      response.setChunked(true);
    }
  }

  /** Writes body bytes and lets the dispatcher send as many more once they have left. */
  void write(Buffer data, AttemptStream source) {
    int length = data.length();
    response.write(data).onSuccess(written -> source.credit(length));
  }

  void end() {
    var unused = response.end();
  }

  /** Cuts the connection, so that the caller sees that the answer is not whole. */
  void abort() {
    var unused = request.connection().close();
  }
}
