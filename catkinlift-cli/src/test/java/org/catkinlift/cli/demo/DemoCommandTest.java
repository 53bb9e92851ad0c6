package org.catkinlift.cli.demo;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.beust.jcommander.JCommander;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

/**
 * Runs a complete site for one second. Guards against components that work alone but not together,
 * and against violated guarantees to callers in normal operation. Latencies are not checked.
 */
final class DemoCommandTest {

  @Test
  void servesSiteWithoutViolations() throws Exception {
    var out = new ByteArrayOutputStream();
    var err = new ByteArrayOutputStream();

    int code = run(out, err, "--seconds", "1", "--format", "json", "--seed", "7");

    assertWithMessage("%s%s", out.toString(UTF_8), err.toString(UTF_8)).that(code).isEqualTo(0);
    JsonNode figures = new ObjectMapper().readTree(out.toString(UTF_8));
    assertThat(figures.path("requests").asInt()).isGreaterThan(0);
    assertThat(figures.path("answered").asInt()).isGreaterThan(0);
    for (String violation :
        new String[] {"wrong_answers", "orders_run_twice", "not_run_but_ran", "owner_conflicts"}) {
      assertWithMessage(violation).that(figures.path(violation).asInt(-1)).isEqualTo(0);
    }
  }

  private static int run(
      ByteArrayOutputStream out, ByteArrayOutputStream err, String... arguments) {
    var command = new DemoCommand();
    JCommander.newBuilder().addObject(command).build().parse(arguments);
    return command.run(new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8));
  }
}
