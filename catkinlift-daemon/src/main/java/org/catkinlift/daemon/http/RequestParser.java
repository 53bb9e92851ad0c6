package org.catkinlift.daemon.http;

import com.google.common.base.Splitter;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.RequestClass;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.RequestId;
import org.catkinlift.model.ServiceName;

/**
 * Parses the service, key, class and deadline of a caller's request.
 *
 * <p>The path {@code /v1/<service>/<key>/<rest>} names the service and the key, and {@code /<rest>}
 * is forwarded. If the header {@link Headers#SERVICE} is present, it and {@link Headers#KEY} apply
 * instead, and the whole path is forwarded.
 */
final class RequestParser {
  private static final String PATH_PREFIX = "/v1/";
  private static final long MAX_DEADLINE_MILLIS = Duration.ofHours(1).toMillis();

  private final Duration defaultDeadline;

  RequestParser(Duration defaultDeadline) {
    this.defaultDeadline = defaultDeadline;
  }

  /** The parsed request, or the reason why it is malformed. */
  sealed interface Parsed {

    /** A well-formed request and the request target for the upstream. */
    record Request(RequestDescription description, String target) implements Parsed {}

    /** A malformed request. */
    record Malformed(RequestId id, String reason) implements Parsed {}
  }

  Parsed parse(HttpServerRequest request) {
    RequestId id = requestId(request);
    try {
      return parse(request, id);
    } catch (ModelException | IllegalArgumentException e) {
      return new Parsed.Malformed(id, String.valueOf(e.getMessage()));
    }
  }

  private static RequestId requestId(HttpServerRequest request) {
    String value = request.getHeader(Headers.REQUEST_ID);
    if (value != null) {
      try {
        return RequestId.of(value);
      } catch (ModelException e) {
        return newId();
      }
    }
    return newId();
  }

  private static RequestId newId() {
    return RequestId.of(UUID.randomUUID().toString());
  }

  private Parsed parse(HttpServerRequest request, RequestId id) {
    var builder =
        RequestDescription.builder()
            .id(id)
            .requestClass(requestClass(request))
            .deadline(deadline(request));
    String service = request.getHeader(Headers.SERVICE);
    if (service != null) {
      String key = Optional.ofNullable(request.getHeader(Headers.KEY)).orElse("");
      return new Parsed.Request(
          builder.service(ServiceName.of(service)).key(key).build(), request.uri());
    }
    if (!request.path().startsWith(PATH_PREFIX)) {
      return new Parsed.Malformed(
          id, "path must be /v1/<service>/<key>/<rest>, or headers must name service and key");
    }
    return parsePath(request, builder, id);
  }

  private static Parsed parsePath(
      HttpServerRequest request, RequestDescription.Builder builder, RequestId id) {
    List<String> parts =
        Splitter.on('/').limit(3).splitToList(request.path().substring(PATH_PREFIX.length()));
    if (parts.size() < 2) {
      return new Parsed.Malformed(id, "path must be /v1/<service>/<key>/<rest>");
    }
    String key = URLDecoder.decode(parts.get(1), StandardCharsets.UTF_8);
    String rest = parts.size() == 3 ? "/" + parts.get(2) : "/";
    String query = request.query() == null ? "" : "?" + request.query();
    return new Parsed.Request(
        builder.service(ServiceName.of(parts.get(0))).key(key).build(), rest + query);
  }

  private static RequestClass requestClass(HttpServerRequest request) {
    String value = request.getHeader(Headers.REQUEST_CLASS);
    if (value == null) {
      boolean safe =
          request.method().equals(HttpMethod.GET) || request.method().equals(HttpMethod.HEAD);
      return safe ? RequestClass.REPEATABLE : RequestClass.AT_MOST_ONCE;
    }
    return switch (value) {
      case "repeatable" -> RequestClass.REPEATABLE;
      case "at-most-once" -> RequestClass.AT_MOST_ONCE;
      default ->
          throw new IllegalArgumentException(
              Headers.REQUEST_CLASS + " must be 'repeatable' or 'at-most-once'");
    };
  }

  private Duration deadline(HttpServerRequest request) {
    String value = request.getHeader(Headers.DEADLINE);
    if (value == null) {
      return defaultDeadline;
    }
    long millis = parseMillis(value);
    if (millis < 1 || millis > MAX_DEADLINE_MILLIS) {
      throw new IllegalArgumentException(
          Headers.DEADLINE + " must be 1 to " + MAX_DEADLINE_MILLIS + " milliseconds");
    }
    return Duration.ofMillis(millis);
  }

  private static long parseMillis(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(
          Headers.DEADLINE + " must be a whole number of milliseconds", e);
    }
  }
}
