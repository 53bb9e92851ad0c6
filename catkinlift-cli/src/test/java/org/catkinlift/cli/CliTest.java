package org.catkinlift.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.beust.jcommander.Parameter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.catkinlift.daemon.ExitCode;
import org.catkinlift.daemon.operator.OperatorServer;
import org.catkinlift.daemon.settings.SettingsReader;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostId;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.plans.Intent;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.OperatorRequest;
import org.catkinlift.plans.Plan;
import org.catkinlift.plans.PlanRecord;
import org.catkinlift.standin.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the command line in-process against an operator server with scripted replies. */
final class CliTest {
  private static final String TOKEN = "0123456789abcdef";
  private static final String SERVICE = "../examples/tavua/services/proof-files.json";

  private final Vertx vertx = Vertx.vertx();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final List<OperatorRequest> receivedRequests = new ArrayList<>();
  private final Deque<OperatorReply> replies = new ArrayDeque<>();
  private @TempDir Path folder;
  private Path tokenFile;
  private OperatorServer server;
  private int port;

  @BeforeEach
  void start() throws Exception {
    port = FreePorts.findOne("127.0.0.1").port();
    var settings =
        SettingsReader.parse(
            """
            {"host": "h", "zone": "z", "callerAddress": "127.0.0.1:1", "operatorToken": "%s",
             "peerAddress": "127.0.0.1:2", "operatorAddress": "127.0.0.1:%d",
             "platformAddress": "127.0.0.1:3"}"""
                .formatted(TOKEN, port));
    server = new OperatorServer(vertx, settings, new MetricRegistry(), this::reply, () -> true);
    server.start().toCompletionStage().toCompletableFuture().get();
    tokenFile = Files.writeString(folder.resolve("token"), TOKEN + "\n");
  }

  @AfterEach
  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get();
  }

  private synchronized Future<OperatorReply> reply(OperatorRequest request) {
    receivedRequests.add(request);
    return Future.succeededFuture(replies.remove());
  }

  private ExitCode run(String line) {
    return run(ImmutableList.of(), line);
  }

  private ExitCode run(ImmutableList<LocalCommand> local, String line) {
    String options = "--operator 127.0.0.1:" + port + " --token-file " + tokenFile + ' ' + line;
    return runArguments(local, options);
  }

  private ExitCode runArguments(ImmutableList<LocalCommand> local, String line) {
    var args = ImmutableList.copyOf(Splitter.on(' ').omitEmptyStrings().split(line));
    return new Cli(local, printStream(out), printStream(err)).run(args);
  }

  private static PrintStream printStream(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, UTF_8);
  }

  private String stdout() {
    return out.toString(UTF_8);
  }

  private String stderr() {
    return err.toString(UTF_8);
  }

  private static PlanRecord plan(PlanRecord.State state, String... refusals) {
    var plan =
        new Plan(
            PlanId.of("p-1"),
            new Intent.DrainZone(ZoneName.of("suva")),
            7,
            ImmutableMap.of(),
            Configuration.builder().version(8).build(),
            ImmutableList.of(
                new Plan.Move(
                    ServiceName.of("order-desk"),
                    Optional.of(UpstreamId.of("desk-01")),
                    Optional.empty(),
                    9)),
            ImmutableList.of(new Plan.Load("zone/nadi", 2.5, 4)),
            Duration.ofMillis(1_500),
            ImmutableList.copyOf(refusals));
    return new PlanRecord(plan, state);
  }

  private static OperatorReply.Facts status(long version) {
    return new OperatorReply.Facts(
        ImmutableMap.of("host", "h", OperatorReply.Facts.CONFIGURATION_VERSION, "" + version),
        ImmutableList.of("why"));
  }

  /** Guards against a command that sends the wrong request or drops an argument. */
  @Test
  void sendsRequestThatMatchesArguments() {
    var suva = ZoneName.of("suva");
    var expected =
        ImmutableMap.<String, OperatorRequest>builder()
            .put("status", new OperatorRequest.ShowStatus())
            .put("plans", OperatorRequest.ListPlans.newest())
            .put(
                "plans --limit 2 --before p-1",
                new OperatorRequest.ListPlans(2, Optional.of(PlanId.of("p-1"))))
            .put("show p-1", new OperatorRequest.ShowPlan(PlanId.of("p-1")))
            .put("confirm p-1", new OperatorRequest.ConfirmPlan(PlanId.of("p-1")))
            .put("explain s k&1", new OperatorRequest.ExplainKey(ServiceName.of("s"), "k&1"))
            .put("plan remove-service s", makePlan(new Intent.RemoveService(ServiceName.of("s"))))
            .put("plan drain-zone suva", makePlan(new Intent.DrainZone(suva)))
            .put("plan return-zone suva", makePlan(new Intent.ReturnZone(suva)))
            .put("plan declare-zone-lost suva", makePlan(new Intent.DeclareZoneLost(suva, false)))
            .put(
                "plan declare-zone-lost suva --hosts-are-off",
                makePlan(new Intent.DeclareZoneLost(suva, true)))
            .put("plan retire-upstream u", makePlan(new Intent.RetireUpstream(UpstreamId.of("u"))))
            .put("plan retire-host h", makePlan(new Intent.RetireHost(HostId.of("h"))))
            .buildOrThrow();
    expected.forEach(
        (line, request) -> {
          replies.add(status(1));
          assertThat(run(line)).isEqualTo(ExitCode.DONE);
          assertThat(receivedRequests.getLast()).isEqualTo(request);
        });
  }

  private static OperatorRequest makePlan(Intent intent) {
    return new OperatorRequest.MakePlan(intent);
  }

  /** Guards against a service file that is altered before it is sent, or sent although invalid. */
  @Test
  void sendsTheServiceFile() throws Exception {
    replies.add(new OperatorReply.PlanShown(plan(PlanRecord.State.OPEN)));
    assertThat(run("plan put-service --file " + SERVICE)).isEqualTo(ExitCode.DONE);
    var intent =
        (Intent.PutService) ((OperatorRequest.MakePlan) receivedRequests.getLast()).intent();
    assertThat(intent.definition().upstreams()).hasSize(6);
    Path broken = Files.writeString(folder.resolve("b.json"), "{\"name\": 1, \"x\": 2}");
    assertThat(run("plan put-service --file " + broken)).isEqualTo(ExitCode.BAD_USAGE);
    assertThat(stderr().lines().count()).isEqualTo(5);
    assertThat(receivedRequests).hasSize(1);
  }

  /** Guards against invalid arguments that reach a daemon or end with the wrong exit code. */
  @Test
  void rejectsInvalidArguments() {
    var lines =
        ImmutableList.of(
            "",
            "plan",
            "plan drain-zone",
            "plan drain-zone a b",
            "plan drain-zone Suva",
            "stat",
            "explain s",
            "show",
            "--format xml status",
            "plan put-service --file none.json");
    for (String line : lines) {
      assertThat(run(line)).isEqualTo(ExitCode.BAD_USAGE);
    }
    assertThat(runArguments(ImmutableList.of(), "status")).isEqualTo(ExitCode.BAD_USAGE);
    assertThat(runArguments(ImmutableList.of(), "--operator localhost:1 status"))
        .isEqualTo(ExitCode.BAD_USAGE);
    assertThat(receivedRequests).isEmpty();
    assertThat(stderr().lines().count()).isEqualTo(lines.size() + 2);
  }

  /** Guards against {@code --help} and {@code --version} needing a daemon or omitting a command. */
  @Test
  void printsHelpAndVersion() {
    assertThat(runArguments(ImmutableList.of(), "--help")).isEqualTo(ExitCode.DONE);
    DaemonCommands.commands().keySet().forEach(c -> assertThat(stdout()).contains(c));
    DaemonCommands.planCommands().keySet().forEach(c -> assertThat(stdout()).contains(c));
    assertThat(runArguments(ImmutableList.of(), "--version")).isEqualTo(ExitCode.DONE);
    assertThat(stdout()).containsMatch("catkinlift \\d+\\.\\d+\\.\\d+");
  }

  /** Guards against plan text that omits moves, loads or the reasons for a refusal. */
  @Test
  void printsPlans() {
    replies.add(new OperatorReply.PlanShown(plan(PlanRecord.State.OPEN, "nadi is full")));
    assertThat(run("show p-1")).isEqualTo(ExitCode.DONE);
    assertThat(stdout())
        .isEqualTo(
            """
            plan p-1 (open)
              intent: drain-zone suva
              made from configuration version 7
              puts configuration version 8 into force
              moves:
                order-desk: 9 slots from desk-01 to none
              loads afterwards:
                zone/nadi: 2.5 of 4
              expected duration: 1.5 s
              refused: nadi is full
              it cannot be confirmed; nothing has changed
            """);
  }

  /** Guards against a truncated list of plans that looks complete. */
  @Test
  void printsHowToListOlderPlans() {
    var plans = ImmutableList.of(plan(PlanRecord.State.OPEN, "nadi is full"));
    replies.add(new OperatorReply.PlansListed(plans, true));
    assertThat(run("plans --limit 1")).isEqualTo(ExitCode.DONE);
    assertThat(stderr()).isEqualTo("there are older plans: catkinlift plans --before p-1\n");
  }

  /** Guards against JSON output that lacks fields scripts depend on. */
  @Test
  void printsJson() {
    replies.add(status(7));
    assertThat(run("--format json status")).isEqualTo(ExitCode.DONE);
    assertThat(stdout()).contains("\"configuration version\" : \"7\"");
    assertThat(stdout()).contains("\"decisions\" : [ \"why\" ]");
  }

  /** Guards against explain output that omits the decisions or prints them in another order. */
  @Test
  void printsDecisionsAboutKey() {
    replies.add(
        new OperatorReply.Facts(
            ImmutableMap.of("owner", "desk-01"), ImmutableList.of("second", "first")));
    assertThat(run("explain order-desk o-17")).isEqualTo(ExitCode.DONE);
    assertThat(stdout()).isEqualTo("owner  desk-01\ndecision: second\ndecision: first\n");
  }

  /** Guards against failures that exit with code 0, and against the token in error messages. */
  @Test
  void failsWhenDaemonRefusesOrDoesNotAnswer() throws Exception {
    replies.add(new OperatorReply.Failed(OperatorReply.Reason.CONFLICT, "version is 9 now"));
    assertThat(run("confirm p-1 --wait")).isEqualTo(ExitCode.FAILED);
    assertThat(stderr()).isEqualTo("error: version is 9 now\n");
    Files.writeString(tokenFile, "another-token-of-this-length");
    assertThat(run("status")).isEqualTo(ExitCode.FAILED);
    assertThat(stderr()).contains("does not accept the token");
    server.stop().toCompletionStage().toCompletableFuture().get();
    assertThat(run("status")).isEqualTo(ExitCode.FAILED);
    assertThat(stderr()).contains("no answer from 127.0.0.1:" + port);
    assertThat(stderr()).doesNotContain(TOKEN);
  }

  /** Guards against {@code confirm --wait} returning before the configuration is in force. */
  @Test
  void waitsUntilTheConfigurationIsInForce() {
    replies.add(new OperatorReply.PlanShown(plan(PlanRecord.State.CONFIRMED)));
    replies.add(status(7));
    replies.add(status(7));
    replies.add(status(8));
    assertThat(run("confirm p-1 --wait")).isEqualTo(ExitCode.DONE);
    assertThat(receivedRequests).hasSize(4);
    assertThat(stderr())
        .isEqualTo(
            """
            configuration version in force: 7, wanted: 8
            configuration version in force: 8, wanted: 8
            """);
  }

  /** Guards against an unbounded wait when the configuration never comes into force. */
  @Test
  void stopsWaitingAfterMaximumPolls() {
    var wait = new ConfigurationPoller(r -> status(7), Runnable::run, printStream(err));
    assertThat(wait.awaitVersion(8)).isEqualTo(ExitCode.FAILED);
    assertThat(stderr()).contains("version 8 is not in force yet");
  }

  /** Guards against a local command that is not found or whose exit code is dropped. */
  @Test
  void runsLocalCommands() {
    var arguments =
        new Object() {
          @Parameter(names = "--code")
          private int code = 0;

          @Parameter(names = "--help", help = true)
          private boolean help;
        };
    var demo =
        ImmutableList.of(
            new LocalCommand(
                "demo",
                arguments,
                () -> arguments.help,
                (o, e) -> {
                  o.println("demo runs");
                  return arguments.code;
                }));
    assertThat(runArguments(demo, "demo --code 1")).isEqualTo(ExitCode.FAILED);
    assertThat(stdout()).isEqualTo("demo runs\n");
    assertThat(runArguments(demo, "demo --help")).isEqualTo(ExitCode.DONE);
    assertThat(stdout()).contains("--code");
    assertThat(runArguments(LocalCommands.all(), "demo --help")).isEqualTo(ExitCode.DONE);
  }
}
