package org.catkinlift.standin.upstream;

/** An action that the upstream's decision logic requests from its HTTP front end. */
public sealed interface WorkAction {

  /**
   * Returns the request.
   *
   * @return the request
   */
  Work work();

  /**
   * Starts the execution of a request.
   *
   * @param work the request
   * @param slowdown the factor applied to its execution time
   */
  record Start(Work work, double slowdown) implements WorkAction {}

  /**
   * Refuses a request that did not run.
   *
   * @param work the request
   * @param reason why it did not run
   */
  record Refuse(Work work, NotRun reason) implements WorkAction {}

  /**
   * Stops the execution of a cancelled request.
   *
   * @param work the request
   */
  record Stop(Work work) implements WorkAction {}
}
