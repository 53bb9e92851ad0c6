package org.catkinlift.connections;

/** Tells the owner of an upstream's connections what to do. */
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
   * The answer goes to no caller.
   *
   * @param connection the connection on which it came
   * @param attempt the attempt that it names
   */
  record DropAnswer(long connection, long attempt) implements ConnectionAction {}
}
