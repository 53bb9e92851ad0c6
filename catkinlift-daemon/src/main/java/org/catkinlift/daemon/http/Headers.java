package org.catkinlift.daemon.http;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import io.vertx.core.MultiMap;
import java.util.Locale;
import java.util.Map;

/** The names of the product's HTTP headers, and the filter for headers that are forwarded. */
public final class Headers {
  /** The service that the caller requests. */
  public static final String SERVICE = "Catkinlift-Service";

  /** The key of a request. */
  public static final String KEY = "Catkinlift-Key";

  /** The class of a request: whether it may be executed more than once. */
  public static final String REQUEST_CLASS = "Catkinlift-Request-Class";

  /** The time remaining until the deadline of a request, in milliseconds. */
  public static final String DEADLINE = "Catkinlift-Deadline-Ms";

  /** The request id. */
  public static final String REQUEST_ID = "Catkinlift-Request-Id";

  /** Whether a refused request may have been executed. */
  public static final String OUTCOME = "Catkinlift-Outcome";

  /** The slot of the key. */
  public static final String SLOT = "Catkinlift-Slot";

  /** The epoch of the slot's owner. */
  public static final String EPOCH = "Catkinlift-Epoch";

  /** The daemon that dispatches the request. */
  public static final String DISPATCHER = "Catkinlift-Dispatcher";

  /** The time after which the upstream must not start the request, in milliseconds. */
  public static final String START_BEFORE = "Catkinlift-Start-Before-Ms";

  /** Identifies the current run of the upstream's process. */
  public static final String INSTANCE = "Catkinlift-Instance";

  /** The value of {@link #OUTCOME} for a request that was not executed. */
  public static final String NOT_RUN = "not-run";

  /** The value of {@link #OUTCOME} for a request that may have been executed. */
  public static final String UNKNOWN = "unknown";

  private static final String PRODUCT_PREFIX = "catkinlift-";

  /** Hop-by-hop headers, and headers that the HTTP client sets itself. */
  private static final ImmutableSet<String> NOT_FORWARDED =
      ImmutableSet.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "host",
          "expect");

  private Headers() {}

  /**
   * Copies the end-to-end headers, without those of the product.
   *
   * @param headers the headers of a request or response
   * @return the headers to forward, with names in lower case
   */
  public static ImmutableListMultimap<String, String> forwarded(MultiMap headers) {
    var builder = ImmutableListMultimap.<String, String>builder();
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!NOT_FORWARDED.contains(name) && !name.startsWith(PRODUCT_PREFIX)) {
        builder.put(name, header.getValue());
      }
    }
    return builder.build();
  }
}
