package org.catkinlift;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against decisions that depend on a front end, a codec or a clock; then a bench or another
 * front end could not run the same decisions.
 */
final class DecisionImportsTest {
  private static final Path SOURCES = Path.of("src", "main", "java");

  private static final ImmutableList<String> ALLOWED =
      ImmutableList.of("java.", "com.google.common.", "com.google.errorprone.", "org.catkinlift.");

  /** Packages of the JDK that reach the network, files or other processes, and other modules. */
  private static final ImmutableList<String> FORBIDDEN =
      ImmutableList.of(
          "java.net.",
          "java.nio.channels.",
          "java.nio.file.",
          "java.io.",
          "java.time.Clock",
          "org.catkinlift.protocol",
          "org.catkinlift.daemon",
          "org.catkinlift.standin",
          "org.catkinlift.cli",
          "org.catkinlift.bench");

  /** Calls that read a clock, wait, or draw random numbers without a seed. */
  private static final ImmutableList<String> FORBIDDEN_CALLS =
      ImmutableList.of(
          "System.nanoTime",
          "System.currentTimeMillis",
          "Instant.now",
          "Thread.",
          "Math.random",
          "new Random()",
          "new SplittableRandom()",
          "ThreadLocalRandom",
          "UUID.randomUUID");

  @Test
  void importsOnlyWhatDecisionsMayDependOn() {
    assertThat(lines().filter(DecisionImportsTest::isBadImport).collect(toImmutableList()))
        .isEmpty();
  }

  @Test
  void callsNoClockAndNoUnseededRandom() {
    assertThat(
            lines()
                .filter(l -> FORBIDDEN_CALLS.stream().anyMatch(l::contains))
                .collect(toImmutableList()))
        .isEmpty();
  }

  @Test
  void findsBadImports() {
    assertThat(isBadImport("import io.vertx.core.Vertx;")).isTrue();
    assertThat(isBadImport("import java.net.Socket;")).isTrue();
    assertThat(isBadImport("import static java.time.Clock.systemUTC;")).isTrue();
    assertThat(isBadImport("import org.catkinlift.protocol.PeerLink;")).isTrue();
    assertThat(isBadImport("import com.google.common.collect.ImmutableList;")).isFalse();
  }

  private static boolean isBadImport(String line) {
    if (!line.startsWith("import ")) {
      return false;
    }
    String name = line.replaceFirst("^import (static )?", "");
    return ALLOWED.stream().noneMatch(name::startsWith)
        || FORBIDDEN.stream().anyMatch(name::startsWith);
  }

  private static Stream<String> lines() {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      return files
          .filter(f -> f.toString().endsWith(".java"))
          .flatMap(DecisionImportsTest::linesOf)
          .collect(toImmutableList())
          .stream();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Stream<String> linesOf(Path file) {
    try {
      return Files.readAllLines(file).stream();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
