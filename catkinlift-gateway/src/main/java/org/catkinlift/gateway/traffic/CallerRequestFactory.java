package org.catkinlift.gateway.traffic;

import com.google.common.base.Suppliers;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;

/** Checks the heads of callers' requests and reads what the daemon needs from them. */
final class CallerRequestFactory {
  private final ReverseProxy proxy;

  CallerRequestFactory(ReverseProxy proxy) {
    this.proxy = proxy;
  }

  /** Returns the status of the response to a request that could not be decoded. */
  static HttpResponseStatus statusOf(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException) {
      return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    }
    if (cause instanceof TooLongHttpLineException) {
      return HttpResponseStatus.REQUEST_URI_TOO_LONG;
    }
    return HttpResponseStatus.BAD_REQUEST;
  }

  /** Returns what is wrong with a request, or an empty string. */
  static String validationError(HttpRequest request) {
    if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      return "Host header missing or repeated";
    }
    if (!request.uri().startsWith("/")) {
      return "request target is not an absolute path";
    }
    List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean chunked =
        encodings.size() == 1
            && encodings.get(0).trim().equalsIgnoreCase(HttpHeaderValues.CHUNKED.toString());
    if (!encodings.isEmpty() && !chunked) {
      return "unsupported transfer encoding";
    }
    if (request.method().equals(HttpMethod.CONNECT)) {
      return "unsupported method";
    }
    return "";
  }

  /** Creates the request of a caller from its head. */
  CallerRequest create(HttpRequest request, RequestBody body) {
    HeaderNames names = proxy.settings().headers();
    String target = request.uri();
    int query = target.indexOf('?');
    HttpHeaders headers =
        HopByHopHeaders.copyEndToEnd(request.headers(), proxy.overwrittenHeaders());
    return new CallerRequest(
        request.headers().get(names.requestId(), ""),
        request.method().name(),
        hostOf(request),
        target,
        query < 0 ? target : target.substring(0, query),
        headers,
        Suppliers.memoize(() -> proxy.tenantHeaders().credentials(headers)),
        body,
        deadlineOf(request.headers().get(names.deadlineMillis())),
        System.nanoTime());
  }

  private static String hostOf(HttpRequest request) {
    String host = request.headers().get(HttpHeaderNames.HOST).toLowerCase(Locale.ROOT);
    int colon = host.lastIndexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  private static OptionalLong deadlineOf(String text) {
    if (text == null) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Math.max(0, Long.parseLong(text.trim())));
    } catch (NumberFormatException e) {
      // A malformed deadline is ignored; the route's timeout applies.
      return OptionalLong.empty();
    }
  }
}
