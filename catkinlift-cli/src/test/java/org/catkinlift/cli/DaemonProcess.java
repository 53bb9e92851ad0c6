package org.catkinlift.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.catkinlift.daemon.DaemonMain;
import org.catkinlift.daemon.settings.DaemonSettings;
import org.catkinlift.model.HostDefinition;

/** Runs one daemon in a separate process, as on an entry host. */
final class DaemonProcess implements AutoCloseable {
  private static final int EXIT_TIMEOUT_SECONDS = 60;

  private final Process process;

  private DaemonProcess(Process process) {
    this.process = process;
  }

  /**
   * Starts a daemon.
   *
   * @param settings the settings of the daemon
   * @param directory receives the settings file and the log
   * @param heapMegabytes the maximum heap size, and the same limit for direct buffers
   */
  static DaemonProcess start(DaemonSettings settings, Path directory, int heapMegabytes)
      throws IOException {
    Path file = directory.resolve("settings.json");
    Files.writeString(file, json(settings).encode());
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heapMegabytes + "m",
                "-XX:MaxDirectMemorySize=" + heapMegabytes + "m",
                "-cp",
                System.getProperty("java.class.path"),
                DaemonMain.class.getName(),
                "--settings",
                file.toString())
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("daemon.log").toFile())
            .start();
    return new DaemonProcess(process);
  }

  private static JsonObject json(DaemonSettings settings) {
    var zones = new JsonArray();
    settings.zones().forEach(z -> zones.add(z.value()));
    var peers = new JsonArray();
    settings.peers().forEach(p -> peers.add(json(p)));
    return new JsonObject()
        .put("host", settings.host().value())
        .put("zone", settings.zone().value())
        .put("cell", settings.cell().value())
        .put("zones", zones)
        .put("callerAddress", settings.callerAddress().toString())
        .put("peerAddress", settings.peerAddress().toString())
        .put("operatorAddress", settings.operatorAddress().toString())
        .put("operatorToken", TestSite.TOKEN)
        .put("platformAddress", settings.platformAddress().toString())
        .put("peers", peers);
  }

  private static JsonObject json(HostDefinition peer) {
    return new JsonObject()
        .put("host", peer.id().value())
        .put("zone", peer.zone().value())
        .put("peerAddress", peer.peerAddress().toString());
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Sends SIGTERM and returns the exit code. */
  int terminate() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException(
          "the daemon did not exit within " + EXIT_TIMEOUT_SECONDS + " s");
    }
    return process.exitValue();
  }

  /** Sends SIGKILL to simulate the loss of the host. */
  void kill() {
    process.destroyForcibly();
  }

  /** Sends SIGSTOP: connections stay open, but the daemon does not answer. */
  void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** Sends SIGCONT. */
  void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  private void signal(String name) throws IOException, InterruptedException {
    int result =
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    if (result != 0) {
      throw new IllegalStateException("kill -" + name + " exited with code " + result);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
