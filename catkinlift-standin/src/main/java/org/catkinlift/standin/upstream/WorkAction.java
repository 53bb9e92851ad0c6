package org.catkinlift.standin.upstream;

/** Something that the decisions of an upstream ask its front end to do. */
public sealed interface WorkAction {

  /**
   * Returns the request.
   *
   * @return the request
   */
  Work work();

  /**
   * Executes a request.
   *
   * @param work the request
   * @param slowdown what its execution time is multiplied by
   */
  record Start(Work work, double slowdown) implements WorkAction {}

  /**
   * Answers that a request did not run.
   *
   * @param work the request
   * @param reason why
   */
  record Refuse(Work work, NotRun reason) implements WorkAction {}

  /**
   * Ends the execution of a request without an answer.
   *
   * @param work the request
   */
  record Stop(Work work) implements WorkAction {}
}
