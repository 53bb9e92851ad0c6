package org.catkinlift.standin.upstream;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.Locale;
import java.util.Optional;

/**
 * What a scripted upstream reads of the head of a request.
 *
 * @param id the {@code X-Request-Id}, or else the target
 * @param contentLength the length of the body in bytes, 0 if it is not given
 */
record RequestHead(String id, int contentLength) {
  private static final String ID = "x-request-id:";
  private static final String CONTENT_LENGTH = "content-length:";

  /** Reads the next head; empty at the end of the connection. */
  static Optional<RequestHead> read(BufferedReader in) throws IOException {
    String line = in.readLine();
    if (line == null || line.isEmpty()) {
      return Optional.empty();
    }
    String id = line.split(" ", -1)[1];
    int contentLength = 0;
    while (line != null && !line.isEmpty()) {
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith(ID)) {
        id = line.substring(ID.length()).trim();
      }
      if (lower.startsWith(CONTENT_LENGTH)) {
        contentLength = Integer.parseInt(line.substring(CONTENT_LENGTH.length()).trim());
      }
      line = in.readLine();
    }
    return Optional.of(new RequestHead(id, contentLength));
  }
}
