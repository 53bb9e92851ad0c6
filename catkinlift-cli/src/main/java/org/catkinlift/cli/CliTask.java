package org.catkinlift.cli;

import org.catkinlift.plans.OperatorRequest;

/** The task that results from parsing the command line. */
sealed interface CliTask {

  /**
   * Prints a text.
   *
   * @param text the text
   */
  record Print(String text) implements CliTask {}

  /**
   * Runs a command that does not contact a daemon.
   *
   * @param command the command
   */
  record RunLocal(LocalCommand command) implements CliTask {}

  /**
   * Sends a request to a daemon and prints the reply.
   *
   * @param request the request
   */
  record Send(OperatorRequest request) implements CliTask {}

  /**
   * Confirms a plan and waits until its configuration is in force at the daemon that received the
   * confirmation.
   *
   * @param request the confirmation
   */
  record ConfirmAndWait(OperatorRequest.ConfirmPlan request) implements CliTask {}
}
