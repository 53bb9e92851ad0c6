package org.catkinlift.gateway.traffic;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests. Rejects a request with both a content length and a transfer encoding, because
 * the upstream could read its end differently (request smuggling).
 */
final class RequestDecoder extends HttpRequestDecoder {
  private static final int MIN_LINE_LIMIT_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 64 << 10;

  RequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(Math.max(MIN_LINE_LIMIT_BYTES, maxHeaderBytes))
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    message.setDecoderResult(
        DecoderResult.failure(
            new IllegalArgumentException("both Content-Length and Transfer-Encoding present")));
  }
}
