package org.catkinlift.daemon.http;

import com.google.common.collect.ImmutableListMultimap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.catkinlift.daemon.relay.AttemptStream;

/** Streams a response to a caller with backpressure. */
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

  /** Writes body data and grants the dispatcher as much new credit once it is written. */
  void write(Buffer data, AttemptStream source) {
    int length = data.length();
    response.write(data).onSuccess(written -> source.grantCredit(length));
  }

  void end() {
    var unused = response.end();
  }

  /** Closes the connection, so that the caller detects the truncated response. */
  void abort() {
    var unused = request.connection().close();
  }
}
