package org.catkinlift.gateway.traffic;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests; one that states its length in two ways is malformed. */
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
            new IllegalArgumentException("both a length and a transfer encoding")));
  }
}
