package org.catkinlift.daemon.http;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import io.vertx.core.MultiMap;
import java.util.Locale;
import java.util.Map;

/** Names the HTTP headers of the product and copies those that pass through. */
public final class Headers {
  /** The service that a caller addresses. */
  public static final String SERVICE = "Catkinlift-Service";

  /** The key of a request. */
  public static final String KEY = "Catkinlift-Key";

  /** Whether a request may be executed more than once. */
  public static final String REQUEST_CLASS = "Catkinlift-Request-Class";

  /** The time that remains for an answer, in milliseconds. */
  public static final String DEADLINE = "Catkinlift-Deadline-Ms";

  /** The request id. */
  public static final String REQUEST_ID = "Catkinlift-Request-Id";

  /** Whether a refused request ran. */
  public static final String OUTCOME = "Catkinlift-Outcome";

  /** The slot of the key. */
  public static final String SLOT = "Catkinlift-Slot";

  /** The epoch of the owner. */
  public static final String EPOCH = "Catkinlift-Epoch";

  /** The daemon that dispatches the request. */
  public static final String DISPATCHER = "Catkinlift-Dispatcher";

  /** The time after which the upstream must not start the request, in milliseconds. */
  public static final String START_BEFORE = "Catkinlift-Start-Before-Ms";

  /** The run of the upstream's process. */
  public static final String INSTANCE = "Catkinlift-Instance";

  /** The value of {@link #OUTCOME} of a request that did not run. */
  public static final String NOT_RUN = "not-run";

  /** The value of {@link #OUTCOME} of a request that may have run. */
  public static final String UNKNOWN = "unknown";

  private static final String PRODUCT_PREFIX = "catkinlift-";

  /** Headers that concern one connection only, and those that the HTTP client sets itself. */
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
   * Copies the headers that pass from one hop to the next.
   *
   * @param headers the headers of a request or answer
   * @return the headers to forward, in lower case
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
