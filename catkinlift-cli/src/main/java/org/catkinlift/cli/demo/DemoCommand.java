package org.catkinlift.cli.demo;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.catkinlift.daemon.Daemon;
import org.catkinlift.daemon.logging.LoggingSetup;
import org.catkinlift.daemon.settings.LoggingSettings;
import org.catkinlift.events.EventCode.Severity;
import org.catkinlift.standin.load.ReadinessProbe;

/** The command {@code catkinlift demo}, which runs a complete site on the local machine. */
@Parameters(
    commandNames = "demo",
    commandDescription = "Run a whole site on this machine, with stand-ins")
public final class DemoCommand {

  private static final String EXAMPLE_PATH = "/v1/order-desk/diary-2027/lookup/diary-2027";
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;
  private static final int READINESS_ROUNDS = 40;
  private static final double PROBE_DOWNLOAD_SHARE = 0.2;
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(40);

  /**
   * Limits the start of the site. A measured run may exceed its two load phases by as much, for
   * pending requests to complete and the daemons to stop.
   */
  private static final Duration TIMEOUT_MARGIN = Duration.ofMinutes(2);

  @Parameter(
      names = "--seconds",
      description = "Send a mix of requests for so many seconds, print the figures and end")
  private int seconds;

  @Parameter(names = "--format", description = "How figures are printed: json or text")
  private DemoFormat format = DemoFormat.TEXT;

  @Parameter(names = "--seed", description = "Determines the mix of requests")
  private long seed = 1;

  @Parameter(names = "--help", help = true, description = "Show this help")
  private boolean help;

  /** Creates the command with default values; JCommander sets the fields by reflection. */
  public DemoCommand() {}

  /**
   * Tells whether the arguments request the help text.
   *
   * @return true if {@code --help} was given
   */
  public boolean isHelpRequested() {
    return help;
  }

  /**
   * Runs the demo: measures for the given number of seconds, or serves until the process is
   * stopped.
   *
   * @param out receives the figures of the measurement or the addresses of the site
   * @param err receives errors and log lines
   * @return the exit code: 1 if the site did not start or stop, an answer was wrong, or the audit
   *     of the recorded upstream activity found a violation
   */
  public int run(PrintStream out, PrintStream err) {
    LoggingSetup.install(new LoggingSettings(Severity.WARNING, 0), err);
    Vertx vertx = Vertx.vertx();
    try {
      DemoSite site = await(startAndAwaitReady(vertx), TIMEOUT_MARGIN);
      return seconds > 0 ? measure(vertx, site, out, err) : serveUntilStopped(site, out);
    } catch (ExecutionException e) {
      err.println("error: " + e.getCause());
      return EXIT_FAILED;
    } catch (TimeoutException e) {
      err.println("error: the site did not start, answer or stop in time");
      return EXIT_FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    } finally {
      var unused = vertx.close();
    }
  }

  private static Future<DemoSite> startAndAwaitReady(Vertx vertx) {
    return DemoSite.start(vertx)
        .compose(
            site ->
                ReadinessProbe.await(
                        vertx, site.routedTargets(), PROBE_DOWNLOAD_SHARE, READINESS_ROUNDS)
                    .map(v -> site));
  }

  private int measure(Vertx vertx, DemoSite site, PrintStream out, PrintStream err)
      throws InterruptedException, ExecutionException, TimeoutException {
    var run = new DemoRun(vertx, site, seed, Duration.ofSeconds(seconds));
    DemoResult result = await(run.measure(), TIMEOUT_MARGIN.plusSeconds(2L * seconds));
    format.print(result, out);
    result.routed().problems().forEach(p -> err.println("error: wrong answer to " + p));
    await(site.stopStandins(), STOP_TIMEOUT);
    return result.isClean() ? EXIT_OK : EXIT_FAILED;
  }

  private static int serveUntilStopped(DemoSite site, PrintStream out) throws InterruptedException {
    var stopped = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(site, stopped), "demo-stop"));
    printAddresses(site, out);
    stopped.await();
    return EXIT_OK;
  }

  private static void stop(DemoSite site, CountDownLatch stopped) {
    try {
      await(site.stopDaemons().eventually(site::stopStandins), STOP_TIMEOUT);
    } catch (ExecutionException | TimeoutException e) {
      System.err.println("error: the site did not stop in order: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      stopped.countDown();
    }
  }

  private static void printAddresses(DemoSite site, PrintStream out) {
    for (Daemon daemon : site.daemons()) {
      out.println(
          "daemon: callers http://"
              + daemon.callerAddress()
              + " operators http://"
              + daemon.operatorAddress());
    }
    out.println("operator token: " + DemoLayout.OPERATOR_TOKEN);
    out.println("platform stand-in: http://" + site.platform().address());
    site.orderDesk()
        .forEach(u -> out.println("upstream " + u.settings().id() + ": http://" + u.address()));
    site.proofFiles()
        .forEach(u -> out.println("upstream " + u.settings().id() + ": http://" + u.address()));
    out.println("try: curl -i http://" + site.callerAddresses().get(0) + EXAMPLE_PATH);
    out.println("stop with Ctrl-C");
  }

  private static <T> T await(Future<T> future, Duration timeout)
      throws InterruptedException, ExecutionException, TimeoutException {
    return future
        .toCompletionStage()
        .toCompletableFuture()
        .get(timeout.toSeconds(), TimeUnit.SECONDS);
  }
}
