package org.catkinlift.upstreams;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a configuration that counts as confirmed although nothing confirmed it lately. */
final class ConfirmedContactTest {
  private final ConfirmedContact contact = new ConfirmedContact();

  private static long millis(long value) {
    return Duration.ofMillis(value).toNanos();
  }

  @Test
  void countsFromTheResponseOfTheStore() {
    contact.running(millis(1_000));

    assertThat(contact.established(Duration.ofMillis(850), millis(1_100)).getAsLong())
        .isEqualTo(millis(250));
    assertThat(contact.established(Duration.ZERO, millis(1_200)).getAsLong())
        .isEqualTo(millis(1_200));
    assertThat(contact.established(Duration.ofMillis(850), millis(1_300)).isPresent()).isFalse();
  }

  @Test
  void responsesThatArrivedDuringSuspensionDoNotCount() {
    contact.running(millis(1_000));

    assertThat(contact.established(Duration.ZERO, millis(9_000)).isPresent()).isFalse();
    assertThat(contact.established(Duration.ZERO, millis(9_001)).isPresent()).isFalse();
    contact.running(millis(9_100));
    assertThat(contact.established(Duration.ZERO, millis(9_300)).getAsLong())
        .isEqualTo(millis(9_300));
  }
}
