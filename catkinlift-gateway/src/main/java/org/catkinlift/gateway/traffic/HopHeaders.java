package org.catkinlift.gateway.traffic;

import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
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
    Set<String> dropped = new HashSet<>(ONE_CONNECTION);
    dropped.addAll(alsoWithout);
    for (String value : headers.getAll("connection")) {
      for (String name : value.split(",", -1)) {
        dropped.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().newHeaders();
    for (Map.Entry<String, String> header : headers) {
      if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
        copy.add(header.getKey(), header.getValue());
      }
    }
    return copy;
  }
}
