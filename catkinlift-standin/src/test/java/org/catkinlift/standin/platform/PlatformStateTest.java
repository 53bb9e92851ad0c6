package org.catkinlift.standin.platform;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import org.catkinlift.model.HostId;
import org.junit.jupiter.api.Test;

/** Guards fault injection: a lost response tests nothing unless the write took effect. */
final class PlatformStateTest {

  private static final PlatformCall WRITE =
      new PlatformCall.Transact(
          new TableTransaction("r", ImmutableMap.of(), ImmutableMap.of("a", "1")));

  @Test
  void dropsTheAnswerButAppliesTheWrite() {
    var state = PlatformState.EMPTY.withFaults(PlatformFaults.builder().loseNext(1).build());

    var first = state.process(WRITE, 0);
    var second = first.next().process(WRITE, 0);

    assertThat(first.answer()).isEqualTo(new PlatformAnswer.Lost());
    assertThat(first.next().table().rowsWithPrefix("a")).hasSize(1);
    assertThat(second.answer()).isInstanceOf(PlatformAnswer.Delayed.class);
  }

  @Test
  void dropsEveryNthAnswer() {
    var state = PlatformState.EMPTY.withFaults(PlatformFaults.builder().loseEveryNth(2).build());
    var lost = ImmutableList.<Boolean>builder();

    for (int i = 0; i < 4; i++) {
      var step = state.process(WRITE, 0);
      lost.add(step.answer() instanceof PlatformAnswer.Lost);
      state = step.next();
    }

    assertThat(lost.build()).containsExactly(false, true, false, true).inOrder();
  }

  @Test
  void writesNothingDuringAnOutage() {
    var state = PlatformState.EMPTY.withFaults(PlatformFaults.builder().outage(true).build());

    assertThat(state.process(WRITE, 0).next()).isEqualTo(state);
  }

  @Test
  void returnsTheHostListOfTheTimeBeforeTheLag() {
    var older = new HostList(ImmutableList.of(), ImmutableList.of(HostId.of("a")));
    var newer = new HostList(ImmutableList.of(), ImmutableList.of(HostId.of("b")));
    var history = HostListHistory.EMPTY.with(100, older).with(200, newer);

    assertThat(history.visibleAt(99, Duration.ZERO)).isEqualTo(HostList.EMPTY);
    assertThat(history.visibleAt(250, Duration.ofNanos(51))).isEqualTo(older);
    assertThat(history.visibleAt(250, Duration.ofNanos(50))).isEqualTo(newer);
  }
}
