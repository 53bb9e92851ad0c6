package org.catkinlift.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.stream.IntStream;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.gateway.store.ObservedVersions;
import org.catkinlift.model.HostId;
import org.junit.jupiter.api.Test;

/** Guards against a store that all daemons poll, or none besides the coordinator. */
final class ReporterListTest {
  private static final ObservedVersions VERSIONS = new ObservedVersions(0, 0, 0);

  private final ReporterList reporters = new ReporterList();

  private static long seconds(int value) {
    return Duration.ofSeconds(value).toNanos();
  }

  private static HostId host(int number) {
    return HostId.of("host-" + number);
  }

  private void receiveReport(int number, double cpuCapacity, long nanos) {
    reporters.reportReceived(
        new LoadReport(host(number), cpuCapacity, VERSIONS, ImmutableList.of(), ImmutableMap.of()),
        nanos);
  }

  private long pollingCount() {
    return IntStream.range(0, 10).filter(i -> reporters.isPolling(host(i))).count();
  }

  @Test
  void onlyOneReporterPollsTheStore() {
    for (int i = 0; i < 10; i++) {
      receiveReport(i, 0.3, seconds(1));
    }

    assertThat(pollingCount()).isEqualTo(1);
    assertThat(reporters.isPolling(host(0))).isTrue();
  }

  @Test
  void anotherReporterPollsAfterTheFirstTimesOut() {
    receiveReport(0, 0.3, seconds(1));
    receiveReport(1, 0.3, seconds(8));
    int remaining = reporters.daemonCount(seconds(8));
    receiveReport(1, 0.3, seconds(8));

    assertThat(remaining).isEqualTo(2);
    assertThat(reporters.isPolling(host(0))).isFalse();
    assertThat(reporters.isPolling(host(1))).isTrue();
  }

  @Test
  void reportsTheMaximumCpuCapacity() {
    assertThat(reporters.maxCpuCapacity()).isEqualTo(0.0);
    receiveReport(0, 0.3, seconds(1));
    receiveReport(1, 1.5, seconds(1));

    assertThat(reporters.maxCpuCapacity()).isEqualTo(1.5);
  }
}
