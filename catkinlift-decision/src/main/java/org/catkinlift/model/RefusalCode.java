package org.catkinlift.model;

/** The reason why a request was refused or why its outcome is unknown. */
public enum RefusalCode {
  /** The request is malformed. */
  BAD_REQUEST,
  /** No service has this name. */
  UNKNOWN_SERVICE,
  /** The key currently has no owner. */
  NO_OWNER,
  /** The dispatcher of the upstream cannot be reached. */
  DISPATCHER_UNREACHABLE,
  /** The queue of the upstream is full. */
  QUEUE_FULL,
  /** The expected wait exceeds the time that remains until the caller's deadline. */
  DEADLINE_TOO_SHORT,
  /** The deadline passed before the request was sent. */
  DEADLINE_PASSED,
  /** The upstream shed the request. */
  UPSTREAM_SHED,
  /** The upstream rejected the epoch. */
  STALE_EPOCH,
  /** No connection to the upstream could be opened. */
  CONNECT_FAILED,
  /** The availability zone is drained or isolated. */
  ZONE_UNAVAILABLE,
  /** The retry budget is exhausted. */
  RETRY_BUDGET_EXHAUSTED,
  /** The daemon is stopping. */
  STOPPING,
  /** The connection was lost after the request was sent. */
  CONNECTION_LOST,
  /** No response arrived before the deadline. */
  ANSWER_OVERDUE
}
