package org.catkinlift.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.catkinlift.admission.ByteBudget.Decision;
import org.junit.jupiter.api.Test;

/** Guards against callers that fill the memory, and against closing those that make progress. */
final class ByteBudgetTest {
  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

  private final ByteBudget<String> budget = new ByteBudget<>(1_000);

  private void hold(String connection, long bytes, long nowNanos) {
    var unused = budget.update(connection, bytes, nowNanos);
  }

  private void holdAndClose(String connection, long bytes, long nowNanos) {
    if (budget.update(connection, bytes, nowNanos) instanceof Decision.Close<String>(var closed)) {
      assertThat(closed).startsWith("stalled");
      hold(closed, 0, nowNanos);
    }
  }

  @Test
  void grantsUpToTheBudget() {
    assertThat(budget.update("a", 600, 0)).isInstanceOf(Decision.Granted.class);
    assertThat(budget.update("b", 400, 0)).isInstanceOf(Decision.Granted.class);
    assertThat(budget.heldBytes()).isEqualTo(1_000);
  }

  @Test
  void pausesWhileAllMakeProgress() {
    hold("a", 600, 0);

    assertThat(budget.update("b", 500, MILLISECOND)).isInstanceOf(Decision.Pause.class);
    assertThat(budget.hasCapacity()).isFalse();

    assertThat(budget.update("a", 0, MILLISECOND)).isInstanceOf(Decision.Granted.class);
    assertThat(budget.hasCapacity()).isTrue();
  }

  @Test
  void closesStalledConnectionInFavourOfProgressingOne() {
    hold("stalled", 400, 0);
    for (int i = 1; i <= 10; i++) {
      hold("progressing", 550, i * SECOND);
      hold("progressing", 100, i * SECOND + MILLISECOND);
    }

    assertThat(budget.update("progressing", 700, 11 * SECOND))
        .isEqualTo(new Decision.Close<>("stalled"));
  }

  @Test
  void bytesThatOnlyGrowAreNoProgress() {
    for (int i = 0; i < 20; i++) {
      hold("trickle", 400 + i, i * SECOND);
    }

    assertThat(budget.update("other", 590, 20 * SECOND)).isEqualTo(new Decision.Close<>("trickle"));
  }

  @Test
  void closesTheOneThatHeldTheMostForTheLongestTime() {
    hold("small", 10, 0);
    hold("large", 600, SECOND);
    hold("other", 450, 2 * SECOND);

    assertThat(budget.connectionToClose(3 * SECOND)).hasValue("large");
  }

  @Test
  void closesProgressingConnectionBeforeMemoryIsExhausted() {
    hold("a", 900, 0);

    assertThat(budget.update("b", 400, MILLISECOND)).isEqualTo(new Decision.Close<>("a"));
  }

  /** Half of the load stalls; those that forward what they receive must all be served. */
  @Test
  void stalledConnectionsNeverEndProgressingOnes() {
    for (int i = 0; i < 50; i++) {
      long now = i * SECOND;
      holdAndClose("stalled-" + i, 100, now);
      holdAndClose("progressing", 50, now + MILLISECOND);
      hold("progressing", 0, now + 2 * MILLISECOND);
      assertThat(budget.heldBytes()).isAtMost(1_250);
    }
  }
}
