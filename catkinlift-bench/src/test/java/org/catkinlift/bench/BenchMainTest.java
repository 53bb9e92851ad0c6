package org.catkinlift.bench;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

final class BenchMainTest {
  private static final String[] COLD_START_ARGS = {
    "--seed", "7", "--scenario", "cold-start-announced", "--site", "zarqa"
  };

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @Test
  void sameSeedPrintsSameBytes() {
    assertThat(run(COLD_START_ARGS)).isEqualTo(0);
    String first = out.toString(UTF_8);
    out.reset();
    assertThat(run(COLD_START_ARGS)).isEqualTo(0);
    assertThat(out.toString(UTF_8)).isEqualTo(first);
    assertThat(first)
        .startsWith(
            "{\"measure\":\"excess_work\",\"site\":\"zarqa\",\"scenario\":\"cold-start-announced\","
                + "\"seed\":7,\"value\":0.0000,\"unit\":\"requests\",\"bound\":0.0000,\"baseline\":");
  }

  @Test
  void badUsageExitsWithTwo() {
    assertThat(run("--unknown")).isEqualTo(2);
    assertThat(run("--scenario", "none")).isEqualTo(2);
    assertThat(run("--site", "none")).isEqualTo(2);
    assertThat(run("--seed", "x")).isEqualTo(2);
    assertThat(out.toString(UTF_8)).isEmpty();
  }

  @Test
  void lineHasFixedFieldOrderAndDigits() {
    var measurement =
        new Measurement("m", Site.TAVUA, "s", 1, 1.0 / 3, "ratio", 1, 2e-9, "none", false);
    assertThat(new MeasurementWriter().toJsonLine(measurement))
        .isEqualTo(
            "{\"measure\":\"m\",\"site\":\"tavua\",\"scenario\":\"s\",\"seed\":1,\"value\":0.3333,"
                + "\"unit\":\"ratio\",\"bound\":1.0000,\"baseline\":0.0000,"
                + "\"baseline_name\":\"none\",\"ok\":false}");
  }

  private int run(String... args) {
    return new BenchMain(new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8))
        .run(args);
  }
}
