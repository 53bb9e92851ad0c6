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

  private final LimitedHeadersFactory headers;

  RequestDecoder(int maxHeaderBytes, int maxHeaderFields) {
    this(maxHeaderBytes, new LimitedHeadersFactory(maxHeaderFields));
  }

  private RequestDecoder(int maxHeaderBytes, LimitedHeadersFactory headers) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(Math.max(MIN_LINE_LIMIT_BYTES, maxHeaderBytes))
            .setMaxHeaderSize(maxHeaderBytes)
            .setHeadersFactory(headers)
            .setTrailersFactory(headers)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
    this.headers = headers;
  }

  /** Returns the number of bytes that were received and not decoded. */
  int unreadBytes() {
    return actualReadableBytes();
  }

  /** Returns the number of header fields that were decoded of the message being received. */
  int headerFields() {
    return headers.fields;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    message.setDecoderResult(
        DecoderResult.failure(
            new IllegalArgumentException("both Content-Length and Transfer-Encoding present")));
  }

  /** Creates headers with a limited number of fields; counts the fields of the newest ones. */
  private static final class LimitedHeadersFactory implements HttpHeadersFactory {
    private final int maxFields;
    private int fields;

    private LimitedHeadersFactory(int maxFields) {
      this.maxFields = maxFields;
    }

    @Override
    public HttpHeaders newHeaders() {
      fields = 0;
      return new LimitedHeaders(this);
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return newHeaders();
    }
  }

  private static final class LimitedHeaders extends DefaultHttpHeaders {
    private final LimitedHeadersFactory factory;

    private LimitedHeaders(LimitedHeadersFactory factory) {
      this.factory = factory;
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
      factory.fields++;
      if (factory.fields > factory.maxFields) {
        throw new TooLongHttpHeaderException("too many header fields");
      }
    }
  }
}
