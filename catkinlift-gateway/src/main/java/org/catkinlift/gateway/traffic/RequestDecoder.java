package org.catkinlift.gateway.traffic;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Decodes requests. Rejects a request with both a content length and a transfer encoding, because
 * the upstream could read its end differently (request smuggling), and one with too many header
 * fields, because a field of four bytes takes more than a hundred in memory.
 */
final class RequestDecoder extends HttpRequestDecoder {
  private static final int MIN_LINE_LIMIT_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 64 << 10;

  RequestDecoder(int maxHeaderBytes, int maxHeaderFields) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(Math.max(MIN_LINE_LIMIT_BYTES, maxHeaderBytes))
            .setMaxHeaderSize(maxHeaderBytes)
            .setHeadersFactory(new LimitedHeadersFactory(maxHeaderFields))
            .setTrailersFactory(new LimitedHeadersFactory(maxHeaderFields))
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  /** Returns the number of bytes that were received and not decoded. */
  int unreadBytes() {
    return actualReadableBytes();
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    message.setDecoderResult(
        DecoderResult.failure(
            new IllegalArgumentException("both Content-Length and Transfer-Encoding present")));
  }

  private record LimitedHeadersFactory(int maxFields) implements HttpHeadersFactory {
    @Override
    public HttpHeaders newHeaders() {
      return new LimitedHeaders(maxFields);
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return new LimitedHeaders(maxFields);
    }
  }

  private static final class LimitedHeaders extends DefaultHttpHeaders {
    private int remainingFields;

    private LimitedHeaders(int maxFields) {
      remainingFields = maxFields;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      countField();
      return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
      countField();
      return super.add(name, value);
    }

    private void countField() {
      remainingFields--;
      if (remainingFields < 0) {
        throw new TooLongHttpHeaderException("too many header fields");
      }
    }
  }
}
