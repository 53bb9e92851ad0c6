package org.catkinlift.gateway.traffic;

import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies headers without those that concern one connection only. */
final class HopHeaders {
  private static final ImmutableSet<String> ONE_CONNECTION =
      ImmutableSet.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect");

  private HopHeaders() {}

  static HttpHeaders endToEnd(HttpHeaders headers, Set<String> alsoWithout) {
    Set<String> named = namedByConnection(headers);
    HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().newHeaders();
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!ONE_CONNECTION.contains(name) && !alsoWithout.contains(name) && !named.contains(name)) {
        copy.add(header.getKey(), header.getValue());
      }
    }
    return copy;
  }

  /** Returns the headers that the sender of the message names as those of one connection. */
  private static Set<String> namedByConnection(HttpHeaders headers) {
    List<String> values = headers.getAll(HttpHeaderNames.CONNECTION);
    if (values.isEmpty()) {
      return ImmutableSet.of();
    }
    Set<String> named = new HashSet<>();
    for (String value : values) {
      for (String name : value.split(",", -1)) {
        named.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return named;
  }
}
