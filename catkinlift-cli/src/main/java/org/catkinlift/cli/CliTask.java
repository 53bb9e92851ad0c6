package org.catkinlift.cli;

import org.catkinlift.plans.OperatorRequest;

/** States what the arguments of {@code catkinlift} ask for. */
sealed interface CliTask {

  /**
   * Prints a text.
   *
   * @param text the text
   */
  record Print(String text) implements CliTask {}

  /**
   * Runs a command that asks no daemon.
   *
   * @param command the command
   */
  record RunLocal(LocalCommand command) implements CliTask {}

  /**
   * Asks a daemon and prints the reply.
   *
   * @param request what to ask
   */
  record Send(OperatorRequest request) implements CliTask {}

  /**
   * Confirms a plan and waits until its configuration is in force at the daemon that was asked.
   *
   * @param request the confirmation
   */
  record ConfirmAndWait(OperatorRequest.ConfirmPlan request) implements CliTask {}
}
