package org.catkinlift.connections;

/** An operation on the connections to one upstream. */
public sealed interface ConnectionAction {

  /**
   * The connection is closed and not used again.
   *
   * @param connection the connection
   */
  record Retire(long connection) implements ConnectionAction {}

  /** A new connection is opened and a probe is sent on it. */
  record ProbeNewConnection() implements ConnectionAction {}

  /**
   * The answer is discarded.
   *
   * @param connection the connection on which it came
   * @param attempt the attempt that the answer names
   */
  record DropAnswer(long connection, long attempt) implements ConnectionAction {}
}
