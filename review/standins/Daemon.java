import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the project, started with the command and the template of the deploy file. */
final class Daemon {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z0-9_.]+)(\\|json)?}}");

  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 32_000;
  private static final Set<Integer> USED_PORTS = new HashSet<>();

  final String name;
  final int frontPort;
  final int readyPort;

  private final Record record;
  private final Path root;
  private final Path settings;
  private final Path log;
  private Process process;

  Daemon(Record record, Path root, Path folder, String name, String zone, int storePort)
      throws IOException {
    this.record = record;
    this.root = root;
    this.name = name;
    this.frontPort = freePort();
    this.readyPort = freePort();
    this.settings = folder.resolve(name + ".json");
    this.log = folder.resolve(name + ".log");
    Map<String, String> fields =
        Map.ofEntries(
            Map.entry("node_name", name),
            Map.entry("zone", zone),
            Map.entry("limits.cpu_share", "0.6"),
            Map.entry("limits.cores", "1"),
            Map.entry("listen.front", "127.0.0.1:" + frontPort),
            Map.entry("listen.ready", "127.0.0.1:" + readyPort),
            Map.entry("ip", "127.0.0.1"),
            Map.entry("internal_ports.0", String.valueOf(freePort())),
            Map.entry("internal_ports.1", String.valueOf(freePort())),
            Map.entry("provider.address", "127.0.0.1:" + storePort),
            Map.entry("bounds.drain", "2000ms"),
            Map.entry("bounds.evacuate", "5000ms"),
            Map.entry("bounds.grace", "6s"),
            Map.entry("bounds.hold_max", "10000ms"),
            Map.entry("bounds.retry_budget_ratio", "0.2"),
            Map.entry("bounds.budget_slack", "62"),
            Map.entry("bounds.budget_window", "10s"));
    Matcher matcher =
        PLACEHOLDER.matcher(Files.readString(root.resolve("deploy/settings.json.template")));
    Files.writeString(settings, matcher.replaceAll(m -> value(fields, m.group(1), m.group(2))));
  }

  private static String value(Map<String, String> fields, String name, String form) {
    String value = fields.get(name);
    boolean isNumber = value.matches("[0-9.]+") && !value.matches(".*\\..*\\..*");
    return form == null || isNumber ? value : '"' + value + '"';
  }

  /**
   * Returns a free port below the range from which the system takes the ports of outgoing
   * connections, so that none of these takes it before the daemon listens.
   */
  private static synchronized int freePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      if (!USED_PORTS.add(port)) {
        continue;
      }
      try (var socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // Used by another process; the next one is tried.
      }
    }
  }

  void start() throws IOException {
    Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml names no command");
    }
    var builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
    builder.directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("CATKINLIFT_SETTINGS", settings.toString());
    File output = log.toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
    process = builder.start();
    record.add("%s: started, front port %d", name, frontPort);
  }

  boolean isReady() {
    try {
      var url = URI.create("http://127.0.0.1:" + readyPort + "/readiness").toURL();
      var connection = (HttpURLConnection) url.openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Sends SIGKILL. */
  void kill() {
    record.add("%s: SIGKILL", name);
    process.destroyForcibly();
  }

  /** Sends SIGTERM. */
  void terminate() {
    record.add("%s: SIGTERM", name);
    process.destroy();
  }

  void end() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor(10, TimeUnit.SECONDS);
    }
  }

  Path log() {
    return log;
  }
}
