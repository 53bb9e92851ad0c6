package org.catkinlift.standin.load;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.catkinlift.standin.HeaderNames;
import org.catkinlift.standin.upstream.FileContent;
import org.catkinlift.standin.upstream.Task;

/** Incrementally checks a response against its request. */
final class AnswerCheck {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;

  private final PlannedRequest request;
  private final int status;
  private final Optional<String> id;
  private final Optional<String> outcome;
  private final StringBuilder text = new StringBuilder();
  private long received;
  private boolean bytesDiffer;

  /**
   * Creates a check of one response.
   *
   * @param request the request
   * @param status the HTTP status of the response
   * @param id the request id in the response
   * @param outcome the outcome header of the response
   */
  AnswerCheck(PlannedRequest request, int status, Optional<String> id, Optional<String> outcome) {
    this.request = request;
    this.status = status;
    this.id = id;
    this.outcome = outcome;
  }

  /** Adds the next chunk of the body. */
  void addChunk(byte[] bytes) {
    if (status == OK && request.task() instanceof Task.Download d) {
      compare(bytes, FileContent.seedOf(d.name()));
    } else {
      text.append(new String(bytes, UTF_8));
    }
    received += bytes.length;
  }

  /** Returns the verdict on a response that was received to its end. */
  Verdict finish() {
    if (!id.equals(Optional.of(request.id()))) {
      return new Verdict.Wrong("request id " + id.orElse("missing"));
    }
    if (status != OK) {
      return checkRefusal();
    }
    return switch (request.task()) {
      case Task.Download t -> checkFile(t);
      case Task.Lookup t -> checkBody(t.key());
      case Task.Order t -> checkBody(t.key());
    };
  }

  private Verdict checkRefusal() {
    return switch (outcome.orElse("")) {
      case HeaderNames.NOT_RUN -> new Verdict.RefusedNotRun();
      case HeaderNames.UNKNOWN -> new Verdict.Unknown();
      default -> new Verdict.Wrong("status " + status + " without an outcome");
    };
  }

  private Verdict checkFile(Task.Download download) {
    if (bytesDiffer || received != download.bytes()) {
      return new Verdict.Wrong(received + " bytes, " + (bytesDiffer ? "altered" : "unaltered"));
    }
    return new Verdict.Answered();
  }

  private Verdict checkBody(String key) {
    try {
      JsonNode node = MAPPER.readTree(text.toString());
      boolean matches =
          node.path("key").asText().equals(key)
              && node.path("requestId").asText().equals(request.id());
      return matches ? new Verdict.Answered() : new Verdict.Wrong("body " + text);
    } catch (JsonProcessingException e) {
      return new Verdict.Wrong("body is not JSON: " + e.getOriginalMessage());
    }
  }

  private void compare(byte[] bytes, int seed) {
    for (int i = 0; i < bytes.length && !bytesDiffer; i++) {
      bytesDiffer = bytes[i] != FileContent.byteAt(seed, received + i);
    }
  }
}
