package org.catkinlift.ranges.explore;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.ranges.GrantReason;
import org.catkinlift.ranges.Holder;
import org.catkinlift.ranges.KeyRange;
import org.catkinlift.ranges.RangeAction;
import org.catkinlift.ranges.RangeAssignment;
import org.junit.jupiter.api.Test;

/** Guards against a search that cannot find a violation. */
final class OwnershipRulesTest {
  private static final long NOW_NANOS = Duration.ofSeconds(1).toNanos();
  private static final int KEY = ExploredSystem.BUSY_KEY;

  private final OwnershipRules rules = new OwnershipRules();
  private final ExploredProcess a = new ExploredProcess("u-0");
  private final ExploredProcess b = new ExploredProcess("u-1");

  private void grant(ExploredProcess process, long fence, boolean isCounted) {
    Holder holder = Holder.of(new ExploredUpstream(0).candidate().upstream());
    var assignment = new RangeAssignment(KeyRange.ALL, holder, fence, ImmutableList.of());
    var grant =
        new RangeAction.Grant(
            1, assignment, Duration.ofSeconds(5), Optional.empty(), new GrantReason.Renewal());
    assertThat(process.grant(grant, ExploredProcess.expiryNanos(grant, NOW_NANOS))).isTrue();
    rules.grantApplied(process, grant, ImmutableList.of(a, b), isCounted, NOW_NANOS);
  }

  private void release(ExploredProcess process, long fence) {
    Holder holder = Holder.of(new ExploredUpstream(0).candidate().upstream());
    process.release(new RangeAction.Release(2, holder, KeyRange.ALL, fence));
  }

  @Test
  void twoHoldersAreAViolation() {
    grant(a, 1, true);
    grant(b, 2, true);
    rules.checkHolders(ImmutableList.of(a, b), NOW_NANOS);

    assertThat(rules.violation().orElse("")).contains("two holders");
  }

  @Test
  void tokenThatDoesNotRiseIsAViolation() {
    grant(a, 2, true);
    release(a, 2);
    grant(b, 2, true);

    assertThat(rules.violation().orElse("")).contains("under token 2");
  }

  @Test
  void grantWhileAnotherUpstreamWorksAfterItsReleaseIsAViolation() {
    grant(a, 1, true);
    a.beginWork(KEY);
    release(a, 2);
    grant(b, 2, true);

    assertThat(rules.violation().orElse("")).contains("u-0 works on it");
  }

  @Test
  void moveAfterAReleaseIsNoViolation() {
    grant(a, 1, true);
    a.beginWork(KEY);
    release(a, 2);
    a.endWork();
    grant(b, 2, true);
    rules.checkHolders(ImmutableList.of(a, b), NOW_NANOS);

    assertThat(rules.violation().isPresent()).isFalse();
  }
}
