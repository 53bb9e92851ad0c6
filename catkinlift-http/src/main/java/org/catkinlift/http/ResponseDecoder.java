package org.catkinlift.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes responses; a response to HEAD has no body regardless of its content length. Bytes that
 * begin like a response but have a status code outside 100 to 599 are malformed.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;

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
  protected HttpMessage createMessage(String[] initialLine) {
    HttpMessage message = super.createMessage(initialLine);
    int status = ((HttpResponse) message).status().code();
    if (status < MIN_STATUS || status > MAX_STATUS) {
      throw new IllegalArgumentException("status code out of range: " + status);
    }
    return message;
  }

  @Override
  public boolean isContentAlwaysEmpty(HttpMessage message) {
    return headOnly || super.isContentAlwaysEmpty(message);
  }
}
