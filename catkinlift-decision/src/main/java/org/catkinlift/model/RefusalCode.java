package org.catkinlift.model;

/** Says why a request was refused. */
public enum RefusalCode {
  /** The request is malformed. */
  BAD_REQUEST,
  /** No service has this name. */
  UNKNOWN_SERVICE,
  /** The key has no owner at present. */
  NO_OWNER,
  /** The dispatcher of the upstream cannot be reached. */
  DISPATCHER_UNREACHABLE,
  /** The queue of the upstream is full. */
  QUEUE_FULL,
  /** The expected wait exceeds the caller's deadline. */
  DEADLINE_TOO_SHORT,
  /** The deadline passed before the request was sent. */
  DEADLINE_PASSED,
  /** The upstream shed the request. */
  UPSTREAM_SHED,
  /** The upstream refused the epoch. */
  STALE_EPOCH,
  /** No connection to the upstream could be opened. */
  CONNECT_FAILED,
  /** The availability zone is drained or cut off. */
  ZONE_UNAVAILABLE,
  /** The retry budget is exhausted. */
  RETRY_BUDGET_EXHAUSTED,
  /** The daemon is stopping. */
  STOPPING,
  /** The connection was lost after the request was sent. */
  CONNECTION_LOST,
  /** No answer came within the deadline. */
  ANSWER_OVERDUE
}
