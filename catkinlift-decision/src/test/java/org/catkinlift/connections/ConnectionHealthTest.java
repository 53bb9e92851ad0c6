package org.catkinlift.connections;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.catkinlift.connections.ConnectionAction.DropAnswer;
import org.catkinlift.connections.ConnectionAction.ProbeNewConnection;
import org.catkinlift.connections.ConnectionAction.Retire;
import org.junit.jupiter.api.Test;

final class ConnectionHealthTest {
  private static final Duration DEADLINE = Duration.ofSeconds(10);
  private static final long MILLI = Duration.ofMillis(1).toNanos();

  private final ConnectionHealth health = new ConnectionHealth();

  @Test
  void silentConnectionIsRetiredOnceAnotherAnswered() {
    health.sent(1, 10, 0, DEADLINE);
    health.sent(2, 20, 0, DEADLINE);
    assertThat(health.answered(2, 20, 5 * MILLI)).isEmpty();
    assertThat(health.tick(199 * MILLI)).isEmpty();
    assertThat(health.tick(200 * MILLI)).containsExactly(new Retire(1));
  }

  @Test
  void slowUpstreamLosesNoConnection() {
    health.sent(1, 10, 0, DEADLINE);
    health.sent(2, 20, 0, DEADLINE);
    assertThat(health.tick(300 * MILLI)).containsExactly(new ProbeNewConnection());
    assertThat(health.tick(301 * MILLI)).isEmpty();
  }

  @Test
  void onlyConnectionIsRetiredAfterAnsweredProbe() {
    health.sent(1, 10, 0, DEADLINE);
    assertThat(health.tick(200 * MILLI)).containsExactly(new ProbeNewConnection());
    health.sent(2, -1, 201 * MILLI, DEADLINE);
    assertThat(health.answered(2, -1, 207 * MILLI)).isEmpty();
    assertThat(health.tick(210 * MILLI)).containsExactly(new Retire(1));
  }

  @Test
  void overdueTimeIsCappedAtHalfOfTheDeadline() {
    health.sent(1, 10, 0, Duration.ofMillis(100));
    assertThat(health.tick(50 * MILLI)).containsExactly(new ProbeNewConnection());
  }

  @Test
  void overdueTimeFollowsTheP99() {
    for (int i = 0; i < 64; i++) {
      health.sent(1, i, 0, DEADLINE);
      assertThat(health.answered(1, i, 100 * MILLI)).isEmpty();
    }
    assertThat(health.overdueLimit()).isEqualTo(Duration.ofMillis(400));
  }

  @Test
  void crossedAnswerIsDroppedAndItsConnectionClosed() {
    health.sent(1, 10, 0, DEADLINE);
    assertThat(health.answered(1, 9, MILLI)).containsExactly(new DropAnswer(1, 9), new Retire(1));
  }

  @Test
  void lateAnswerIsDroppedAndItsConnectionClosed() {
    health.sent(1, 10, 0, DEADLINE);
    health.abandoned(1, 10);
    assertThat(health.answered(1, 10, MILLI)).containsExactly(new DropAnswer(1, 10), new Retire(1));
    assertThat(health.answered(1, 10, MILLI)).containsExactly(new DropAnswer(1, 10));
  }

  @Test
  void connectionIsProbedAfterThirtyIdleSeconds() {
    health.opened(1, 0);
    assertThat(health.needsProbe(1, 30_000 * MILLI)).isFalse();
    assertThat(health.needsProbe(1, 30_001 * MILLI)).isTrue();
  }

  @Test
  void probeConnectionIsReservedWhenRequestsUseAllOthers() {
    var limit = new ConnectionLimit(2);
    assertThat(limit.tryOpenForRequest()).isTrue();
    assertThat(limit.tryOpenForRequest()).isFalse();
    assertThat(limit.tryOpenForProbe()).isTrue();
    assertThat(limit.tryOpenForProbe()).isFalse();
    limit.closed();
    assertThat(limit.open()).isEqualTo(1);
  }
}
