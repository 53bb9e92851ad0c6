package org.catkinlift.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.catkinlift.routes.RequestKind;
import org.junit.jupiter.api.Test;

/** Guards against requests that a stopping daemon takes and cuts when its process ends. */
final class ShutdownWindowTest {
  private static final Duration GRACE_PERIOD = Duration.ofSeconds(6);

  private final ShutdownWindow window = ShutdownWindow.of(seconds(100), GRACE_PERIOD);

  private static long seconds(double value) {
    return (long) (value * Duration.ofSeconds(1).toNanos());
  }

  private boolean isAllowed(RequestKind kind, double atSeconds, double deadlineSeconds) {
    var urgency = new Urgency(1, seconds(100), seconds(100 + deadlineSeconds));
    return window.allows(urgency, kind, seconds(100 + atSeconds));
  }

  @Test
  void processEndsBeforeItIsKilled() {
    assertThat(window.exitNanos()).isLessThan(seconds(106));
  }

  /** The request of the review: sent 3.2 s after the signal with a timeout of 2.5 s. */
  @Test
  void lateRequestIsSentOnlyIfItEndsBeforeTheProcess() {
    assertThat(isAllowed(RequestKind.DOWNLOAD, 3.2, 5.7)).isFalse();
    assertThat(isAllowed(RequestKind.IDEMPOTENT, 3.2, 5.7)).isFalse();
    assertThat(isAllowed(RequestKind.IDEMPOTENT, 3.2, 5.0)).isTrue();
    assertThat(isAllowed(RequestKind.NON_IDEMPOTENT, 4.5, 5.2)).isTrue();
  }

  /** A request that may not be repeated would be lost if it outlasted the process. */
  @Test
  void nonIdempotentRequestIsNeverSentIfItMayOutlastTheProcess() {
    assertThat(isAllowed(RequestKind.NON_IDEMPOTENT, 0.1, 8)).isFalse();
    assertThat(isAllowed(RequestKind.IDEMPOTENT, 0.1, 8)).isTrue();
    assertThat(isAllowed(RequestKind.IDEMPOTENT, 2.5, 8)).isFalse();
  }
}
