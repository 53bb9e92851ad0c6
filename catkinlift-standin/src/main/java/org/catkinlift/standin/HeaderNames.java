package org.catkinlift.standin;

/** The names of the HTTP headers that callers, daemons and upstreams exchange. */
public final class HeaderNames {

  /** The caller's request id, echoed in each response. */
  public static final String REQUEST_ID = "Catkinlift-Request-Id";

  /** Whether a request may run more than once. */
  public static final String REQUEST_CLASS = "Catkinlift-Request-Class";

  /** The remaining time for the response, in milliseconds from receipt of the request. */
  public static final String DEADLINE = "Catkinlift-Deadline-Ms";

  /** The time within which the request may start, in milliseconds from its receipt. */
  public static final String START_BEFORE = "Catkinlift-Start-Before-Ms";

  /** The slot of the key. */
  public static final String SLOT = "Catkinlift-Slot";

  /** The epoch of the owner, as {@code term.counter}. */
  public static final String EPOCH = "Catkinlift-Epoch";

  /** The host that sent the request to the upstream. */
  public static final String DISPATCHER = "Catkinlift-Dispatcher";

  /** The instance of the upstream that responded. */
  public static final String INSTANCE = "Catkinlift-Instance";

  /** Whether a failed request is known not to have run, or may have run. */
  public static final String OUTCOME = "Catkinlift-Outcome";

  /** The value of {@link #OUTCOME} for a request that did not run. */
  public static final String NOT_RUN = "not-run";

  /** The value of {@link #OUTCOME} for a request that may have run. */
  public static final String UNKNOWN = "unknown";

  private HeaderNames() {}
}
