package org.catkinlift.daemon.settings;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;
import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.stream.Stream;
import org.catkinlift.events.EventCode.Severity;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

final class SettingsReaderTest {
  private static final Path EXAMPLES = Path.of("../examples");
  private static final String TOKEN = "0123456789abcdef";
  private static final String REQUIRED_KEYS =
      """
      "host": "suva-1", "zone": "suva", "callerAddress": "127.0.1.1:8080",
      "peerAddress": "127.0.1.1:7400", "operatorAddress": "[::1]:9400",
      "operatorToken": "0123456789abcdef", "platformAddress": "127.0.0.1:7000"
      """;

  /** Guards against an invalid document that is accepted or whose errors are not all reported. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "unknown-keys",
        "wrong-types",
        "missing-keys",
        "overlapping-addresses",
        "not-ip-numbers",
        "out-of-range",
        "repeated-hosts",
        "zones-without-hosts",
        "cell-in-two-zones",
        "malformed"
      })
  void reportsEveryError(String name) throws IOException {
    Path folder = Path.of("src/test/resources/settings/broken");
    var failure =
        assertThrows(
            SettingsException.class, () -> SettingsReader.read(folder.resolve(name + ".json")));
    var found =
        failure.errors().stream()
            .map(e -> e.path() + " | " + e.value() + " | " + e.allowed())
            .collect(toImmutableList());
    assertThat(found)
        .containsExactlyElementsIn(Files.readAllLines(folder.resolve(name + ".errors")))
        .inOrder();
    assertThat(failure).hasMessageThat().doesNotContain("secret");
    assertThat(failure).hasMessageThat().doesNotContain(TOKEN);
  }

  /** Guards against examples that the reader rejects or that lack a host or a zone. */
  @ParameterizedTest
  @MethodSource("exampleFiles")
  void readsExample(Path file) {
    DaemonSettings settings = SettingsReader.read(file);
    assertThat(file.getFileName().toString()).isEqualTo(settings.host() + ".json");
    assertThat(settings.peers().size() + 1).isAnyOf(10, 11);
    assertThat(settings.zones().size()).isAnyOf(3, 4);
  }

  static Stream<Path> exampleFiles() throws IOException {
    try (Stream<Path> files = Files.walk(EXAMPLES, 2)) {
      return files.filter(f -> f.toString().endsWith(".json")).sorted().toList().stream();
    }
  }

  /** Guards against hosts of a site without an example. */
  @Test
  void hasOneExamplePerHost() throws IOException {
    assertThat(exampleFiles().count()).isEqualTo(10 + 11);
  }

  /** Guards against defaults that differ from the declared ones. */
  @Test
  void fillsInDefaults() {
    DaemonSettings settings = SettingsReader.parse("{" + REQUIRED_KEYS + "}");
    assertThat(settings.host()).isEqualTo(HostId.of("suva-1"));
    assertThat(settings.cell()).isEqualTo(CellId.of("suva"));
    assertThat(settings.zones()).containsExactly(ZoneName.of("suva"));
    assertThat(settings.operatorAddress()).isEqualTo(NetworkAddress.of("::1", 9400));
    assertThat(settings.peers()).isEmpty();
    assertThat(settings.logging()).isEqualTo(new LoggingSettings(Severity.INFO, 1));
    assertThat(settings.limits().queueFactor()).isEqualTo(16);
    assertThat(settings.limits().defaultDeadline()).isEqualTo(Duration.ofSeconds(10));
    assertThat(settings.shutdownGrace()).isEqualTo(Duration.ofSeconds(30));
  }

  /** Guards against a token that is logged with the settings or an error message. */
  @Test
  void neverExposesTheToken() {
    DaemonSettings settings = SettingsReader.parse("{" + REQUIRED_KEYS + "}");
    assertThat(settings.toString()).doesNotContain(TOKEN);
    assertThat(settings.operatorToken().matches(TOKEN)).isTrue();
    assertThat(settings.operatorToken().matches("0123456789abcdeF")).isFalse();
    String shortToken = "{" + REQUIRED_KEYS.replace(TOKEN, "short") + "}";
    var failure = assertThrows(SettingsException.class, () -> SettingsReader.parse(shortToken));
    assertThat(failure).hasMessageThat().doesNotContain("\"short\"");
    assertThat(failure.code()).isEqualTo(SettingsException.Code.INVALID);
  }

  /** Guards against keys that the reader accepts but does not declare, and the reverse. */
  @Test
  void acceptsExactlyTheDeclaredKeys() {
    String unknown = "\"x\": 0";
    var failure =
        assertThrows(
            SettingsException.class,
            () ->
                SettingsReader.parse(
                    "{%s, %s, \"logging\": {%s}, \"limits\": {%s}, \"peers\": [{%s}]}"
                        .formatted(REQUIRED_KEYS, unknown, unknown, unknown, unknown)));
    ImmutableSet<String> accepted =
        failure.errors().stream()
            .filter(e -> e.allowed().startsWith("one of the keys "))
            .flatMap(SettingsReaderTest::acceptedPaths)
            .filter(p -> !ImmutableSet.of("logging", "limits", "peers").contains(p))
            .collect(toImmutableSet());
    ImmutableSet<String> declared =
        SettingsKeys.ALL.stream().map(SettingsKey::path).collect(toImmutableSet());
    assertThat(accepted).isEqualTo(declared);
  }

  private static Stream<String> acceptedPaths(SettingsError error) {
    String prefix =
        error.path().substring(0, error.path().length() - 1).replaceAll("\\[\\d+]", "[]");
    String keys = error.allowed().substring("one of the keys ".length());
    return Splitter.on(", ").splitToStream(keys).map(key -> prefix + key);
  }

  /** Guards against a missing file that is reported as an unexpected exception. */
  @Test
  void reportsAnUnreadableFile() {
    var failure =
        assertThrows(
            SettingsException.class, () -> SettingsReader.read(EXAMPLES.resolve("none.json")));
    assertWithMessage("code").that(failure.code()).isEqualTo(SettingsException.Code.NOT_READABLE);
    assertThat(failure).hasCauseThat().isInstanceOf(IOException.class);
  }
}
