package org.catkinlift.standin.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Splitter;
import com.google.common.base.Strings;
import io.vertx.core.http.HttpServerRequest;
import java.net.URLDecoder;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.catkinlift.model.Epoch;
import org.catkinlift.standin.HeaderNames;

/** Parses {@link Work} from HTTP requests. */
final class WorkParser {

  private static final Splitter DOT = Splitter.on('.').limit(2);

  private WorkParser() {}

  /**
   * Parses a request.
   *
   * @param request the HTTP request
   * @param number the sequence number to assign
   * @param requiresGrant whether it may run only if a grant covers it
   * @param nowNanos the time of receipt
   * @return the request; empty if the method and path match no operation
   * @throws IllegalArgumentException if a header is malformed
   */
  static Optional<Work> parse(
      HttpServerRequest request, long number, boolean requiresGrant, long nowNanos) {
    return task(request)
        .map(
            task ->
                Work.builder(number)
                    .requestId(Strings.nullToEmpty(request.getHeader(HeaderNames.REQUEST_ID)))
                    .task(task)
                    .slot(slot(request))
                    .epoch(epoch(request))
                    .dispatcher(Strings.nullToEmpty(request.getHeader(HeaderNames.DISPATCHER)))
                    .requiresGrant(requiresGrant)
                    .startBeforeNanos(startBefore(request, nowNanos))
                    .build());
  }

  private static Optional<Task> task(HttpServerRequest request) {
    String path = request.path();
    int cut = path.indexOf('/', 1) + 1;
    String key = URLDecoder.decode(path.substring(cut), UTF_8);
    return switch (request.method() + " " + path.substring(0, cut)) {
      case "GET /lookup/" -> Optional.of(new Task.Lookup(key));
      case "POST /orders/" -> Optional.of(new Task.Order(key));
      case "GET /files/" -> Optional.of(new Task.Download(key, bytes(request)));
      default -> Optional.empty();
    };
  }

  private static long bytes(HttpServerRequest request) {
    return Long.parseLong(Optional.ofNullable(request.getParam("bytes")).orElse("0"));
  }

  private static int slot(HttpServerRequest request) {
    return Optional.ofNullable(request.getHeader(HeaderNames.SLOT))
        .map(Integer::parseInt)
        .orElse(Work.NO_SLOT);
  }

  private static Epoch epoch(HttpServerRequest request) {
    String text = request.getHeader(HeaderNames.EPOCH);
    if (text == null) {
      return Epoch.NONE;
    }
    List<String> parts = DOT.splitToList(text);
    if (parts.size() != 2) {
      throw new IllegalArgumentException("epoch must be 'term.counter', was '" + text + "'");
    }
    return Epoch.of(Long.parseLong(parts.get(0)), Long.parseLong(parts.get(1)));
  }

  /** Both headers are relative to receipt, because clocks of different hosts are not comparable. */
  private static long startBefore(HttpServerRequest request, long nowNanos) {
    return Math.min(
        after(request, HeaderNames.START_BEFORE, nowNanos),
        after(request, HeaderNames.DEADLINE, nowNanos));
  }

  private static long after(HttpServerRequest request, String header, long nowNanos) {
    String text = request.getHeader(header);
    return text == null
        ? Long.MAX_VALUE
        : nowNanos + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(text));
  }
}
