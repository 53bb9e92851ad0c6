package org.catkinlift.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Optional;

/**
 * The load that an upstream reports.
 *
 * @param running the requests in execution
 * @param waiting the requests that wait for an execution slot
 */
record UpstreamLoadReport(int running, int waiting) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Reads the answer of an upstream; empty if it is no load report. */
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
