package org.catkinlift.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Optional;

/**
 * The load reported by an upstream.
 *
 * @param running the number of requests in execution
 * @param waiting the number of requests that wait for an execution slot
 */
record UpstreamLoadReport(int running, int waiting) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Parses the response of an upstream; empty if it is not a load report. */
  static Optional<UpstreamLoadReport> read(Buffer body) {
    try {
      JsonNode node = JSON.readTree(body.getBytes());
      if (!node.path("running").canConvertToInt() || !node.path("waiting").canConvertToInt()) {
        return Optional.empty();
      }
      return Optional.of(
          new UpstreamLoadReport(node.path("running").asInt(), node.path("waiting").asInt()));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
