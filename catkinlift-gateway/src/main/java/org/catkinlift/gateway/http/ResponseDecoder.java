package org.catkinlift.gateway.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes responses; a response to HEAD has no body regardless of its content length. */
public final class ResponseDecoder extends HttpResponseDecoder {
  private boolean headOnly;

  /**
   * Sets whether the next response answers a HEAD request.
   *
   * @param value whether it does
   */
  public void setHeadOnly(boolean value) {
    headOnly = value;
  }

  /**
   * Returns whether bytes were received that are not decoded yet. After a complete response, these
   * belong to no response.
   *
   * @return whether there are such bytes
   */
  public boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  public boolean isContentAlwaysEmpty(HttpMessage message) {
    return headOnly || super.isContentAlwaysEmpty(message);
  }
}
