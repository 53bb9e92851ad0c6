package org.catkinlift.routes;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import org.catkinlift.model.ServiceName;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are matched to a shorter prefix or another host's route, and against
 * inaccurate traffic shares.
 */
final class RouteTableTest {
  private static Route route(String name, String host, String prefix, double... weights) {
    ImmutableList.Builder<WeightedTarget> targets = ImmutableList.builder();
    for (int i = 0; i < weights.length; i++) {
      targets.add(new WeightedTarget(ServiceName.of("s" + i), weights[i]));
    }
    return Route.builder().name(name).host(host).prefix(prefix).targets(targets.build()).build();
  }

  private final RouteTable table =
      RouteTable.of(
          ImmutableList.of(
              route("short", "a.example", "/x/", 1),
              route("long", "a.example", "/x/y/", 1),
              route("other", "b.example", "/", 1)));

  @Test
  void longestPrefixWins() {
    assertThat(table.find("a.example", "/x/y/z").orElseThrow().name()).isEqualTo("long");
    assertThat(table.find("a.example", "/x/z").orElseThrow().name()).isEqualTo("short");
  }

  @Test
  void aPrefixEndsAtASlash() {
    assertThat(table.find("a.example", "/xy")).isEmpty();
    assertThat(table.find("a.example", "/x")).isEmpty();
  }

  @Test
  void routesOfOtherHostsDoNotMatch() {
    assertThat(table.find("b.example", "/anything").orElseThrow().name()).isEqualTo("other");
    assertThat(table.find("c.example", "/x/")).isEmpty();
  }

  @Test
  void sharesAreExactOverOneHundredRequests() {
    var selector = new WeightedTargetSelector();
    Route split = route("split", "a.example", "/s/", 90, 10);
    int second = 0;
    for (int i = 0; i < 100; i++) {
      second += selector.next(split).value().equals("s1") ? 1 : 0;
    }
    assertThat(second).isEqualTo(10);
  }
}
