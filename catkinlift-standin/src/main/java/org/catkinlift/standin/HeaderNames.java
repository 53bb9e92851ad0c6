package org.catkinlift.standin;

/** Names the HTTP headers that callers, daemons and upstreams exchange. */
public final class HeaderNames {

  /** The caller's request id, echoed with each answer. */
  public static final String REQUEST_ID = "Catkinlift-Request-Id";

  /** Whether a request may run more than once. */
  public static final String REQUEST_CLASS = "Catkinlift-Request-Class";

  /** The time that remains for an answer, in milliseconds from the receipt of the request. */
  public static final String DEADLINE = "Catkinlift-Deadline-Ms";

  /** The time within which a request may start, in milliseconds from its receipt. */
  public static final String START_BEFORE = "Catkinlift-Start-Before-Ms";

  /** The slot of the key. */
  public static final String SLOT = "Catkinlift-Slot";

  /** The epoch of the owner, as {@code term.counter}. */
  public static final String EPOCH = "Catkinlift-Epoch";

  /** The host that sends the request to the upstream. */
  public static final String DISPATCHER = "Catkinlift-Dispatcher";

  /** The run of the upstream's process that answered. */
  public static final String INSTANCE = "Catkinlift-Instance";

  /** Whether a request that failed did not run, or may have. */
  public static final String OUTCOME = "Catkinlift-Outcome";

  /** The value of {@link #OUTCOME} for a request that did not run. */
  public static final String NOT_RUN = "not-run";

  /** The value of {@link #OUTCOME} for a request that may have run. */
  public static final String UNKNOWN = "unknown";

  private HeaderNames() {}
}
