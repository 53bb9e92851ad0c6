package org.catkinlift.events;

/**
 * Declares every event that a daemon logs: its number, severity and text.
 *
 * <p>Numbers are never reused. 1000: routing, 2000: limits and upstreams, 3000: ownership and
 * placement, 4000: membership, 5000: configuration and plans, 6000: process.
 */
public enum EventCode {
  /** A request was routed to a dispatcher. */
  REQUEST_ROUTED(1001, Severity.DEBUG, "request routed"),
  /** A request was refused; it did not run. */
  REQUEST_REFUSED(1002, Severity.INFO, "request refused"),
  /** A request ended without a known outcome. */
  REQUEST_UNKNOWN(1003, Severity.WARNING, "request outcome unknown"),
  /** A request was sent again. */
  REQUEST_RETRIED(1004, Severity.INFO, "request retried"),
  /** A repeatable request was sent to a second upstream. */
  REQUEST_HEDGED(1005, Severity.DEBUG, "request hedged"),
  /** A request was answered by an upstream. */
  REQUEST_ANSWERED(1006, Severity.DEBUG, "request answered"),
  /** A caller left before its request ended. */
  REQUEST_CANCELLED(1007, Severity.INFO, "caller left"),

  /** An upstream was found to be cold and its limit was lowered. */
  UPSTREAM_COLD(2001, Severity.WARNING, "upstream starts cold"),
  /** An upstream reached its full limit again. */
  UPSTREAM_WARM(2002, Severity.INFO, "upstream is warm"),
  /** A connection was retired because it went silent. */
  CONNECTION_RETIRED(2003, Severity.WARNING, "silent connection retired"),
  /** A late or crossed answer was dropped. */
  ANSWER_DROPPED(2004, Severity.WARNING, "late or crossed answer dropped"),
  /** A connection to an upstream could not be opened or broke. */
  UPSTREAM_FAILED(2005, Severity.WARNING, "upstream connection failed"),
  /** An upstream refused a request; it did not run. */
  UPSTREAM_REFUSED(2006, Severity.INFO, "upstream refused request"),

  /** This daemon became the coordinator of its cell. */
  COORDINATOR_ROLE_TAKEN(3001, Severity.INFO, "coordinator role taken"),
  /** This daemon lost the coordinator role. */
  COORDINATOR_ROLE_LOST(3002, Severity.WARNING, "coordinator role lost"),
  /** A slot got a new owner. */
  SLOT_ASSIGNED(3003, Severity.INFO, "slot assigned"),
  /** An owner released a slot or its lease lapsed. */
  SLOT_RELEASED(3004, Severity.INFO, "slot released"),
  /** An upstream refused a grant. */
  GRANT_REFUSED(3005, Severity.WARNING, "grant refused"),
  /** A daemon became the dispatcher of an upstream. */
  DISPATCHER_ASSIGNED(3006, Severity.INFO, "dispatcher assigned"),
  /** A key was placed apart from its slot. */
  KEY_OVERRIDE_ADDED(3007, Severity.INFO, "hot key placed apart"),
  /** A slot leaves an overloaded cell for another one. */
  HOME_CELL_CHANGED(3008, Severity.INFO, "slot gets another home cell"),
  /** A key that was placed apart has cooled down. */
  KEY_OVERRIDE_REMOVED(3009, Severity.INFO, "cooled key returned to its slot"),
  /** The coordinator wrote the holders of a service's keys to the store. */
  RANGE_MAP_WRITTEN(3010, Severity.INFO, "key ranges written"),
  /** The holders of a service's keys came into force on this daemon. */
  RANGE_MAP_APPLIED(3011, Severity.INFO, "key ranges applied"),
  /** A grant or release of keys failed at an upstream. */
  KEY_GRANT_OR_RELEASE_FAILED(3012, Severity.WARNING, "key grant or release failed"),
  /** This daemon gave the coordinator role up, so that a stronger host takes it. */
  COORDINATOR_ROLE_YIELDED(3013, Severity.INFO, "coordinator role left to a stronger host"),

  /** A daemon joined the cell. */
  MEMBER_JOINED(4001, Severity.INFO, "member joined"),
  /** A daemon stopped answering. */
  MEMBER_SUSPECTED(4002, Severity.WARNING, "member suspected"),
  /** A daemon left by plan. */
  MEMBER_LEFT(4003, Severity.INFO, "member left"),
  /** A message of another daemon could not be read. */
  PEER_MESSAGE_SKIPPED(4004, Severity.WARNING, "unreadable message skipped"),

  /** A configuration came into force on this daemon. */
  CONFIGURATION_APPLIED(5001, Severity.INFO, "configuration applied"),
  /** An older configuration was offered and ignored. */
  CONFIGURATION_STALE(5002, Severity.DEBUG, "stale configuration ignored"),
  /** A plan was made from an intent. */
  PLAN_MADE(5003, Severity.INFO, "plan made"),
  /** A plan was confirmed and is in force. */
  PLAN_CONFIRMED(5004, Severity.INFO, "plan confirmed"),
  /** A confirmation failed because something had changed since the plan was made. */
  PLAN_CONFLICT(5005, Severity.WARNING, "plan conflicts with a later change"),
  /** The platform did not answer. */
  PLATFORM_UNREACHABLE(5006, Severity.WARNING, "platform unreachable"),
  /** The platform answers again. */
  PLATFORM_REACHABLE(5007, Severity.INFO, "platform reachable"),
  /** A row of the platform could not be read and was left out. */
  ROW_SKIPPED(5008, Severity.WARNING, "unreadable row skipped"),
  /** Operators took availability zones out or back. */
  OUT_OF_SERVICE_ZONES_CHANGED(5009, Severity.INFO, "availability zones out of service"),

  /** The daemon serves callers. */
  DAEMON_STARTED(6001, Severity.INFO, "daemon started"),
  /** The daemon refuses new requests and finishes the running ones. */
  DAEMON_STOPPING(6002, Severity.INFO, "daemon stopping"),
  /** The daemon ended. */
  DAEMON_STOPPED(6003, Severity.INFO, "daemon stopped"),
  /** The settings were read again. */
  SETTINGS_RELOADED(6004, Severity.INFO, "settings reloaded"),
  /** The address for metrics could not be used. */
  METRICS_NOT_SERVED(6005, Severity.WARNING, "metrics not served");

  /** How important an event is. */
  public enum Severity {
    /** Follows single requests; off or sampled in production. */
    DEBUG,
    /** A decision in the normal course of work. */
    INFO,
    /** Something that an operator may have to look at. */
    WARNING
  }

  private static final int GROUP_SIZE = 1_000;
  private static final int OWNERSHIP_GROUP = 3;

  private final int number;
  private final Severity severity;
  private final String text;

  EventCode(int number, Severity severity, String text) {
    this.number = number;
    this.severity = severity;
    this.text = text;
  }

  /**
   * Returns the number by which operators find the event in the catalogue.
   *
   * @return the number
   */
  public int number() {
    return number;
  }

  /**
   * Tells whether the event states a decision about ownership or placement.
   *
   * @return true if its number is of the 3000s
   */
  public boolean isOwnershipDecision() {
    return number / GROUP_SIZE == OWNERSHIP_GROUP;
  }

  /**
   * Returns the severity.
   *
   * @return the severity
   */
  public Severity severity() {
    return severity;
  }

  /**
   * Returns the fixed text of the event.
   *
   * @return the text
   */
  public String text() {
    return text;
  }
}
