package org.catkinlift.gateway.http;

import java.nio.charset.StandardCharsets;

/**
 * A response of a {@link TextHttpServer}.
 *
 * @param status the status code
 * @param body the body
 */
public record TextResponse(int status, String body) {

  byte[] bytes() {
    return body.getBytes(StandardCharsets.UTF_8);
  }
}
