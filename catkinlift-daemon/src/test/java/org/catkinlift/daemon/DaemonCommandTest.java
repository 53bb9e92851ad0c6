package org.catkinlift.daemon;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.catkinlift.daemon.settings.DaemonSettings;
import org.junit.jupiter.api.Test;

final class DaemonCommandTest {
  private static final String SETTINGS = "../examples/tavua/suva-1.json";
  private static final String INVALID_SETTINGS =
      "src/test/resources/settings/broken/unknown-keys.json";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private Future<RunningDaemon> started = Future.failedFuture("address in use");
  private DaemonSettings settings;
  private StopHook hook;

  private Future<RunningDaemon> start(Vertx vertx, DaemonSettings settings) {
    this.settings = settings;
    return started.eventually(vertx::close);
  }

  private Optional<ExitCode> run(String... args) {
    return new DaemonCommand(this::start, h -> hook = h, print(out), print(err))
        .run(ImmutableList.copyOf(args));
  }

  private static PrintStream print(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, UTF_8);
  }

  /** Guards against invalid arguments that start a daemon or exit with success. */
  @Test
  void refusesBadUsage() {
    for (var args : ImmutableList.of(new String[] {}, new String[] {"--sttings", SETTINGS})) {
      assertThat(run(args)).isEqualTo(Optional.of(ExitCode.BAD_USAGE));
    }
    assertThat(err.toString(UTF_8).lines().count()).isEqualTo(2);
    assertThat(settings).isNull();
  }

  /** Guards against help and version output that needs settings or goes to the wrong stream. */
  @Test
  void printsHelpAndVersion() {
    assertThat(run("--help")).isEqualTo(Optional.of(ExitCode.DONE));
    assertThat(run("--version")).isEqualTo(Optional.of(ExitCode.DONE));
    assertThat(out.toString(UTF_8)).contains("--check");
    assertThat(out.toString(UTF_8)).containsMatch("catkinliftd \\d+\\.\\d+\\.\\d+");
    assertThat(err.size()).isEqualTo(0);
  }

  /** Guards against a settings check that starts the daemon or hides errors. */
  @Test
  void checksSettings() {
    assertThat(run("--check", "--settings", SETTINGS)).isEqualTo(Optional.of(ExitCode.DONE));
    assertThat(out.toString(UTF_8)).contains("host suva-1 in zone suva");
    assertThat(run("--check", "--settings", INVALID_SETTINGS))
        .isEqualTo(Optional.of(ExitCode.BAD_USAGE));
    assertThat(run("--settings", INVALID_SETTINGS)).isEqualTo(Optional.of(ExitCode.BAD_USAGE));
    assertThat(err.toString(UTF_8).lines().count()).isEqualTo(2 * 4);
    assertThat(settings).isNull();
  }

  /** Guards against a process that keeps running after its daemon failed to start. */
  @Test
  void reportsAFailedStart() {
    assertThat(run("--settings", SETTINGS)).isEqualTo(Optional.of(ExitCode.FAILED));
    assertThat(err.toString(UTF_8)).contains("address in use");
    assertThat(hook).isNull();
  }

  /** Guards against a stop hook that returns before the daemon has stopped. */
  @Test
  void waitsForTheDaemonToStop() throws Exception {
    Promise<Void> ended = Promise.promise();
    var stopRequested = new CountDownLatch(1);
    started =
        Future.succeededFuture(
            () -> {
              stopRequested.countDown();
              return ended.future();
            });
    assertThat(run("--settings", SETTINGS)).isEqualTo(Optional.empty());
    assertThat(settings.host().value()).isEqualTo("suva-1");
    CompletableFuture<ExitCode> stopped = CompletableFuture.supplyAsync(hook::stop);
    stopRequested.await();
    assertThat(stopped.isDone()).isFalse();
    ended.complete();
    assertThat(stopped.get()).isEqualTo(ExitCode.DONE);
  }

  /** Guards against a failed stop that exits with success. */
  @Test
  void reportsAFailedStop() {
    var failing = new StopHook(() -> Future.failedFuture("lost"), Duration.ZERO);
    assertThat(failing.stop()).isEqualTo(ExitCode.FAILED);
  }
}
