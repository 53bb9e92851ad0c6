package org.catkinlift.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.stream.IntStream;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.gateway.store.NewsVersions;
import org.catkinlift.model.HostId;
import org.junit.jupiter.api.Test;

/** Guards against a store that everybody asks, or nobody beside the coordinator. */
final class ReporterListTest {
  private static final NewsVersions NEWS = new NewsVersions(0, 0, 0);

  private final ReporterList reporters = new ReporterList();

  private static long seconds(int value) {
    return Duration.ofSeconds(value).toNanos();
  }

  private static HostId host(int number) {
    return HostId.of("host-" + number);
  }

  private void report(int number, double processor, long nanos) {
    reporters.reported(
        new LoadReport(host(number), processor, NEWS, ImmutableList.of(), ImmutableMap.of()),
        nanos);
  }

  private long asking() {
    return IntStream.range(0, 10).filter(i -> reporters.asksTheStore(host(i))).count();
  }

  @Test
  void oneReporterAsksTheStore() {
    for (int i = 0; i < 10; i++) {
      report(i, 0.3, seconds(1));
    }

    assertThat(asking()).isEqualTo(1);
    assertThat(reporters.asksTheStore(host(0))).isTrue();
  }

  @Test
  void anotherOneAsksWhenTheFirstIsSilent() {
    report(0, 0.3, seconds(1));
    report(1, 0.3, seconds(8));
    int left = reporters.count(seconds(8));
    report(1, 0.3, seconds(8));

    assertThat(left).isEqualTo(2);
    assertThat(reporters.asksTheStore(host(0))).isFalse();
    assertThat(reporters.asksTheStore(host(1))).isTrue();
  }

  @Test
  void knowsTheStrongestHostThatReports() {
    assertThat(reporters.strongest()).isEqualTo(0.0);
    report(0, 0.3, seconds(1));
    report(1, 1.5, seconds(1));

    assertThat(reporters.strongest()).isEqualTo(1.5);
  }
}
