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

/** Removes hop-by-hop headers, which apply to a single connection only. */
final class HopByHopHeaders {
  private static final ImmutableSet<String> HOP_BY_HOP =
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

  private HopByHopHeaders() {}

  /** Returns a copy without hop-by-hop headers and without the excluded ones, in lower case. */
  static HttpHeaders copyEndToEnd(HttpHeaders headers, Set<String> excluded) {
    Set<String> connectionOptions = connectionOptions(headers);
    HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().newHeaders();
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name)
          && !excluded.contains(name)
          && !connectionOptions.contains(name)) {
        copy.add(header.getKey(), header.getValue());
      }
    }
    return copy;
  }

  /** Returns the names of further hop-by-hop headers, as listed in the Connection header. */
  private static Set<String> connectionOptions(HttpHeaders headers) {
    List<String> values = headers.getAll(HttpHeaderNames.CONNECTION);
    if (values.isEmpty()) {
      return ImmutableSet.of();
    }
    Set<String> connectionOptions = new HashSet<>();
    for (String value : values) {
      for (String name : value.split(",", -1)) {
        connectionOptions.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return connectionOptions;
  }
}
