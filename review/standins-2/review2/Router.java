package review2;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the deploy file, with its template filled in for loopback addresses. */
final class Router {
  final String name;
  final Store.Door door;
  Process process;
  final int callers;
  private final ProcessBuilder builder;
  private final int health;

  Router(String name, Store.Door door, Path temporary, Path log) throws IOException {
    this.name = name;
    this.door = door;
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    callers = freePort();
    health = freePort();
    Map<String, String> values = new HashMap<>();
    values.put("node_name", "\"" + name + "\"");
    values.put("zone", "\"suva\"");
    values.put("ip", "127.0.0.1");
    values.put("limits.cpu_share", "0.6");
    values.put("limits.cores", "1");
    values.put("limits.max_fds", "4100");
    values.put("listen.front", "\"127.0.0.1:" + callers + "\"");
    values.put("listen.ready", "\"127.0.0.1:" + health + "\"");
    values.put("internal_ports.0", String.valueOf(freePort()));
    values.put("internal_ports.1", String.valueOf(freePort()));
    values.put("provider.address", "\"127.0.0.1:" + door.port() + "\"");
    values.put("bounds.drain", "\"2000ms\"");
    values.put("bounds.evacuate", "\"5000ms\"");
    values.put("bounds.grace", "\"6s\"");
    values.put("bounds.hold_max", "\"10000ms\"");
    values.put("bounds.retry_budget_ratio", "0.2");
    values.put("bounds.budget_slack", "62");
    values.put("bounds.budget_window", "\"10s\"");
    Path settings = temporary.resolve(name + ".json");
    Files.writeString(settings, fill(Files.readString(Path.of(word(deploy, "template"))), values));
    builder = new ProcessBuilder(List.of(word(deploy, "run").split(" ")));
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("CATKINLIFT_SETTINGS", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
    start();
  }

  void start() throws IOException {
    process = builder.start();
  }

  private static String word(String deploy, String name) {
    Matcher matcher =
        Pattern.compile("(?m)^" + name + " = \"(.*)\"$").matcher(deploy);
    if (!matcher.find()) {
      throw new IllegalStateException("deploy/system.toml has no " + name);
    }
    return matcher.group(1);
  }

  private static String fill(String template, Map<String, String> values) {
    String text =
        Pattern.compile("\\{\\{#([a-z_.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL)
            .matcher(template)
            .replaceAll(m -> values.containsKey(m.group(1)) ? Matcher.quoteReplacement(m.group(2)) : "");
    return Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?\\}\\}")
        .matcher(text)
        .replaceAll(
            m -> {
              String value = values.get(m.group(1));
              if (value == null) {
                throw new IllegalStateException("no value for " + m.group(1));
              }
              return Matcher.quoteReplacement(value);
            });
  }

  /** A port that is free and below those of outgoing connections. */
  private static int freePort() throws IOException {
    for (int i = 0; i < 200; i++) {
      int port = 20_000 + (int) (Math.random() * 12_000);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
        return port;
      } catch (BindException e) {
        // In use; another one is tried.
      }
    }
    throw new IOException("no free port");
  }

  boolean isReady() {
    try {
      HttpURLConnection call =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + health + "/readiness").toURL().openConnection();
      call.setConnectTimeout(500);
      call.setReadTimeout(500);
      return call.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady() throws InterruptedException {
    long end = System.nanoTime() + 40_000_000_000L;
    while (!isReady()) {
      if (System.nanoTime() > end || !process.isAlive()) {
        throw new IllegalStateException("the router did not become ready");
      }
      Thread.sleep(100);
    }
  }

  void end() {
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
