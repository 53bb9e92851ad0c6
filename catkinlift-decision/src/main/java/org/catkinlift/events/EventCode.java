package org.catkinlift.events;

/**
 * The events that a daemon logs, with their number, severity and text.
 *
 * <p>Numbers are never reused. The ranges are 1000 for routing, 2000 for limits and upstreams, 3000
 * for ownership and placement, 4000 for membership, 5000 for configuration and plans, and 6000 for
 * the process.
 */
public enum EventCode {
  /** A request was routed to a dispatcher. */
  REQUEST_ROUTED(1001, Severity.DEBUG, "request routed"),
  /** A request was refused without being executed. */
  REQUEST_REFUSED(1002, Severity.INFO, "request refused"),
  /** A request ended with an unknown outcome. */
  REQUEST_UNKNOWN(1003, Severity.WARNING, "request outcome unknown"),
  /** A request was retried. */
  REQUEST_RETRIED(1004, Severity.INFO, "request retried"),
  /** A repeatable request was sent to a second upstream. */
  REQUEST_HEDGED(1005, Severity.DEBUG, "request hedged"),
  /** An upstream answered a request. */
  REQUEST_ANSWERED(1006, Severity.DEBUG, "request answered"),
  /** A caller disconnected before its request ended. */
  REQUEST_CANCELLED(1007, Severity.INFO, "caller left"),
  /** A caller's connection was closed in favour of others. */
  CALLER_CLOSED(1008, Severity.WARNING, "caller connection closed"),

  /** An upstream was found to be cold, and its limit was lowered. */
  UPSTREAM_COLD(2001, Severity.WARNING, "upstream starts cold"),
  /** An upstream reached its full limit again. */
  UPSTREAM_WARM(2002, Severity.INFO, "upstream is warm"),
  /** A connection was retired because it stopped responding. */
  CONNECTION_RETIRED(2003, Severity.WARNING, "silent connection retired"),
  /** A response that was late or belonged to another request was dropped. */
  ANSWER_DROPPED(2004, Severity.WARNING, "late or crossed answer dropped"),
  /** A connection to an upstream failed or could not be opened. */
  UPSTREAM_FAILED(2005, Severity.WARNING, "upstream connection failed"),
  /** An upstream refused a request without executing it. */
  UPSTREAM_REFUSED(2006, Severity.INFO, "upstream refused request"),
  /** A server sent bytes that are no response, and its connection was closed. */
  UNEXPECTED_BYTES(2007, Severity.WARNING, "bytes that are no answer"),
  /** The rate of requests to an upstream that has started or recovered is raised step by step. */
  UPSTREAM_RAMP_UP(2010, Severity.INFO, "upstream ramp-up started"),

  /** This daemon became the coordinator of its cell. */
  COORDINATOR_ROLE_TAKEN(3001, Severity.INFO, "coordinator role taken"),
  /** This daemon lost the coordinator role. */
  COORDINATOR_ROLE_LOST(3002, Severity.WARNING, "coordinator role lost"),
  /** A slot got a new owner. */
  SLOT_ASSIGNED(3003, Severity.INFO, "slot assigned"),
  /** An owner released a slot, or its lease expired. */
  SLOT_RELEASED(3004, Severity.INFO, "slot released"),
  /** An upstream refused a grant. */
  GRANT_REFUSED(3005, Severity.WARNING, "grant refused"),
  /** A daemon became the dispatcher of an upstream. */
  DISPATCHER_ASSIGNED(3006, Severity.INFO, "dispatcher assigned"),
  /** A hot key was assigned separately from its slot. */
  KEY_OVERRIDE_ADDED(3007, Severity.INFO, "hot key placed apart"),
  /** A slot moves from an overloaded cell to another home cell. */
  HOME_CELL_CHANGED(3008, Severity.INFO, "slot gets another home cell"),
  /** A key that is no longer hot follows its slot again. */
  KEY_OVERRIDE_REMOVED(3009, Severity.INFO, "cooled key returned to its slot"),
  /** The coordinator attempted to write the range map of a service; a field holds the outcome. */
  RANGE_MAP_WRITTEN(3010, Severity.INFO, "key ranges written"),
  /** This daemon applied the range map of a service. */
  RANGE_MAP_APPLIED(3011, Severity.INFO, "key ranges applied"),
  /** An upstream failed to grant or release keys. */
  KEY_GRANT_OR_RELEASE_FAILED(3012, Severity.WARNING, "key grant or release failed"),
  /** This daemon yielded the coordinator role to a more powerful host. */
  COORDINATOR_ROLE_YIELDED(3013, Severity.INFO, "coordinator role left to a stronger host"),
  /** The coordinator assigned keys to a holder under a new fencing token. */
  KEYS_REASSIGNED(3014, Severity.INFO, "keys reassigned"),
  /** The coordinator sends the first grant under a fencing token; fields hold why it may. */
  KEYS_GRANTED_TO_NEW_HOLDER(3015, Severity.INFO, "keys granted to new holder"),
  /** An upstream confirmed a grant or release of keys. */
  KEY_GRANT_OR_RELEASE_CONFIRMED(3016, Severity.DEBUG, "key grant or release confirmed"),
  /** What the coordinator of keyed services did and how busy its control thread was. */
  COORDINATOR_LOAD(3017, Severity.INFO, "coordinator load"),
  /**
   * The store has no range map of its era, and the newest one that is known may lack later moves.
   */
  RANGE_MAP_LOST(3018, Severity.WARNING, "key ranges lost in a restore of the store"),

  /** A daemon joined the cell. */
  MEMBER_JOINED(4001, Severity.INFO, "member joined"),
  /** A daemon stopped responding. */
  MEMBER_SUSPECTED(4002, Severity.WARNING, "member suspected"),
  /** A daemon announced that it is shutting down. */
  MEMBER_LEFT(4003, Severity.INFO, "member left"),
  /** A message from another daemon could not be decoded. */
  PEER_MESSAGE_SKIPPED(4004, Severity.WARNING, "unreadable message skipped"),
  /** No coordinator renewed this daemon's shares of quotas; only its small reserves are left. */
  QUOTA_SHARES_EXPIRED(4005, Severity.WARNING, "quota shares expired"),

  /** This daemon applied a configuration. */
  CONFIGURATION_APPLIED(5001, Severity.INFO, "configuration applied"),
  /** An older configuration was received and ignored. */
  CONFIGURATION_STALE(5002, Severity.DEBUG, "stale configuration ignored"),
  /** A plan was made from an intent. */
  PLAN_MADE(5003, Severity.INFO, "plan made"),
  /** A plan was confirmed, and its configuration was committed. */
  PLAN_CONFIRMED(5004, Severity.INFO, "plan confirmed"),
  /** A confirmation failed because the plan is no longer valid. */
  PLAN_CONFLICT(5005, Severity.WARNING, "plan conflicts with a later change"),
  /** The platform did not answer. */
  PLATFORM_UNREACHABLE(5006, Severity.WARNING, "platform unreachable"),
  /** The platform is reachable again. */
  PLATFORM_REACHABLE(5007, Severity.INFO, "platform reachable"),
  /** A row from the platform could not be decoded and was skipped. */
  ROW_SKIPPED(5008, Severity.WARNING, "unreadable row skipped"),
  /** The set of availability zones that operators took out of service changed. */
  OUT_OF_SERVICE_ZONES_CHANGED(5009, Severity.INFO, "availability zones out of service"),
  /** An outage of the platform's store ended; missing upstreams are kept for a grace period. */
  STORE_OUTAGE_ENDED(5010, Severity.INFO, "outage of the store ended"),
  /** The platform's store was restored from an older copy. */
  STORE_RESTORED(5011, Severity.WARNING, "store restored from an older copy"),
  /** An invalid entry of the tenants in a configuration was skipped or clamped. */
  TENANT_ENTRY_INVALID(5012, Severity.WARNING, "invalid tenant entry"),
  /** Requests of tenants are refused, because the configuration cannot be confirmed. */
  CONFIGURATION_UNCONFIRMED(5013, Severity.WARNING, "configuration unconfirmed"),
  /** Requests of tenants are served again. */
  CONFIGURATION_CONFIRMED(5014, Severity.INFO, "configuration confirmed"),

  /** The daemon started to serve callers. */
  DAEMON_STARTED(6001, Severity.INFO, "daemon started"),
  /** The daemon is shutting down: it refuses new requests and completes those in flight. */
  DAEMON_STOPPING(6002, Severity.INFO, "daemon stopping"),
  /** The daemon stopped. */
  DAEMON_STOPPED(6003, Severity.INFO, "daemon stopped"),
  /** The settings were reloaded. */
  SETTINGS_RELOADED(6004, Severity.INFO, "settings reloaded"),
  /** The metrics endpoint could not be bound. */
  METRICS_NOT_SERVED(6005, Severity.WARNING, "metrics not served"),
  /** A timer or the handler of a call result ended with an exception; later runs go on. */
  TASK_FAILED(6006, Severity.WARNING, "task failed");

  /** The severity of an event. */
  public enum Severity {
    /** Concerns a single request; disabled or sampled in production. */
    DEBUG,
    /** A decision in normal operation. */
    INFO,
    /** A condition that may require an operator's attention. */
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
   * Returns the number of the event in the catalogue.
   *
   * @return the number
   */
  public int number() {
    return number;
  }

  /**
   * Returns whether the event is a decision about ownership or placement.
   *
   * @return true if its number is in the 3000 range
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
