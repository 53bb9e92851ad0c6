package org.catkinlift.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.plans.Intent;
import org.catkinlift.plans.OperatorRequest;

/**
 * The commands that send a request to a daemon. JCommander sets the fields of the nested classes by
 * reflection.
 */
final class DaemonCommands {
  private DaemonCommands() {}

  /** A command with its parsed arguments. */
  interface Command {

    /**
     * Returns the task that the arguments describe.
     *
     * @return the task
     * @throws ParameterException if an argument is missing or invalid
     */
    CliTask task();
  }

  /**
   * Returns the top-level commands, except {@code plan}.
   *
   * @return new command objects by name, in the order of the help text
   */
  static ImmutableMap<String, Command> commands() {
    return ImmutableMap.of(
        "status", new Status(),
        "plans", new Plans(),
        "show", new Show(),
        "confirm", new Confirm(),
        "explain", new Explain());
  }

  /**
   * Returns the subcommands of {@code plan}.
   *
   * @return new command objects by name, in the order of the help text
   */
  static ImmutableMap<String, Command> planCommands() {
    return ImmutableMap.of(
        "put-service", new PutService(),
        "remove-service", new RemoveService(),
        "drain-zone", new DrainZone(),
        "return-zone", new ReturnZone(),
        "declare-zone-lost", new DeclareZoneLost(),
        "retire-upstream", new RetireUpstream(),
        "retire-host", new RetireHost());
  }

  /** The {@code plan} command, which only groups its subcommands. */
  @Parameters(commandDescription = "make a plan from an intent; nothing changes")
  static final class PlanGroup {
    PlanGroup() {}

    /**
     * Registers the subcommands.
     *
     * @param group the parser of the {@code plan} command
     * @param commands the subcommands by name
     */
    static void addTo(JCommander group, ImmutableMap<String, Command> commands) {
      commands.forEach(group::addCommand);
    }
  }

  @Parameters(commandDescription = "show the state of a daemon and its cell")
  private static final class Status implements Command {
    @Override
    public CliTask task() {
      return new CliTask.Send(new OperatorRequest.ShowStatus());
    }
  }

  @Parameters(commandDescription = "list plans, newest first")
  private static final class Plans implements Command {
    @Parameter(names = "--limit", description = "at most this many plans (1 to 100)")
    private int limit = OperatorRequest.ListPlans.MAX_LIMIT;

    @Parameter(names = "--before", description = "only plans after this one in the list")
    private String before;

    @Override
    public CliTask task() {
      if (limit < 1 || limit > OperatorRequest.ListPlans.MAX_LIMIT) {
        throw new ParameterException(
            "--limit must be from 1 to " + OperatorRequest.ListPlans.MAX_LIMIT);
      }
      Optional<PlanId> plan =
          Optional.ofNullable(before).map(b -> parseSingleName(ImmutableList.of(b), PlanId::of));
      return new CliTask.Send(new OperatorRequest.ListPlans(limit, plan));
    }
  }

  @Parameters(commandDescription = "show one plan")
  private static final class Show implements Command {
    @Parameter(description = "PLAN", required = true)
    private List<String> names = new ArrayList<>();

    @Override
    public CliTask task() {
      return new CliTask.Send(new OperatorRequest.ShowPlan(parseSingleName(names, PlanId::of)));
    }
  }

  @Parameters(commandDescription = "put a plan into force; repeating it does nothing twice")
  private static final class Confirm implements Command {
    @Parameter(description = "PLAN", required = true)
    private List<String> names = new ArrayList<>();

    @Parameter(names = "--wait", description = "wait until the configuration is in force")
    private boolean wait;

    @Override
    public CliTask task() {
      var request = new OperatorRequest.ConfirmPlan(parseSingleName(names, PlanId::of));
      return wait ? new CliTask.ConfirmAndWait(request) : new CliTask.Send(request);
    }
  }

  @Parameters(commandDescription = "show who owns a key and why")
  private static final class Explain implements Command {
    private static final int ARGUMENT_COUNT = 2;

    @Parameter(description = "SERVICE KEY", required = true)
    private List<String> arguments = new ArrayList<>();

    @Override
    public CliTask task() {
      if (arguments.size() != ARGUMENT_COUNT) {
        throw new ParameterException("explain needs SERVICE and KEY");
      }
      ServiceName service = parseSingleName(arguments.subList(0, 1), ServiceName::of);
      return new CliTask.Send(new OperatorRequest.ExplainKey(service, arguments.get(1)));
    }
  }

  @Parameters(commandDescription = "create a service or replace its definition")
  private static final class PutService implements Command {
    @Parameter(names = "--file", required = true, description = "service definition (JSON)")
    private String file = "";

    @Override
    public CliTask task() {
      return makePlan(new Intent.PutService(ServiceFile.read(java.nio.file.Path.of(file))));
    }
  }

  @Parameters(commandDescription = "remove a service")
  private static final class RemoveService implements Command {
    @Parameter(description = "NAME", required = true)
    private List<String> names = new ArrayList<>();

    @Override
    public CliTask task() {
      return makePlan(new Intent.RemoveService(parseSingleName(names, ServiceName::of)));
    }
  }

  @Parameters(commandDescription = "take an availability zone out of service")
  private static final class DrainZone implements Command {
    @Parameter(description = "ZONE", required = true)
    private List<String> names = new ArrayList<>();

    @Override
    public CliTask task() {
      return makePlan(new Intent.DrainZone(parseSingleName(names, ZoneName::of)));
    }
  }

  @Parameters(commandDescription = "bring an availability zone back")
  private static final class ReturnZone implements Command {
    @Parameter(description = "ZONE", required = true)
    private List<String> names = new ArrayList<>();

    @Override
    public CliTask task() {
      return makePlan(new Intent.ReturnZone(parseSingleName(names, ZoneName::of)));
    }
  }

  @Parameters(commandDescription = "state that an availability zone has stopped")
  private static final class DeclareZoneLost implements Command {
    @Parameter(description = "ZONE", required = true)
    private List<String> names = new ArrayList<>();

    @Parameter(names = "--hosts-are-off", description = "state that its hosts are switched off")
    private boolean hostsAreOff;

    @Override
    public CliTask task() {
      return makePlan(
          new Intent.DeclareZoneLost(parseSingleName(names, ZoneName::of), hostsAreOff));
    }
  }

  @Parameters(commandDescription = "take an upstream out of service for good")
  private static final class RetireUpstream implements Command {
    @Parameter(description = "ID", required = true)
    private List<String> names = new ArrayList<>();

    @Override
    public CliTask task() {
      return makePlan(new Intent.RetireUpstream(parseSingleName(names, UpstreamId::of)));
    }
  }

  @Parameters(commandDescription = "take a host out of service for good")
  private static final class RetireHost implements Command {
    @Parameter(description = "ID", required = true)
    private List<String> names = new ArrayList<>();

    @Override
    public CliTask task() {
      return makePlan(new Intent.RetireHost(parseSingleName(names, HostId::of)));
    }
  }

  private static CliTask makePlan(Intent intent) {
    return new CliTask.Send(new OperatorRequest.MakePlan(intent));
  }

  private static <T> T parseSingleName(List<String> names, Function<String, T> factory) {
    if (names.size() != 1) {
      throw new ParameterException("exactly one name is needed, got " + names);
    }
    try {
      return factory.apply(names.get(0));
    } catch (ModelException e) {
      throw new ParameterException(e.getMessage(), e);
    }
  }
}
