package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;

/** The decisions under test, at all hosts of a site. */
final class RouterPath implements RequestPath {
  private final ImmutableMap<UpstreamId, UpstreamLink> links;
  private final ImmutableList<EntryDaemon> daemons;
  private final SplittableRandom balancer;

  private RouterPath(
      ImmutableMap<UpstreamId, UpstreamLink> links,
      ImmutableList<EntryDaemon> daemons,
      SplittableRandom balancer) {
    this.links = links;
    this.daemons = daemons;
    this.balancer = balancer;
  }

  static RouterPath of(TrafficWorld world, long seed) {
    return withExtraLimit(world, seed, 0);
  }

  /** Returns a path whose dispatchers send more than the upstreams bear, as a deliberate defect. */
  static RouterPath withExtraLimit(TrafficWorld world, long seed, int extra) {
    var random = new SplittableRandom(seed);
    var attempts = new AtomicLong();
    var links = ImmutableMap.<UpstreamId, UpstreamLink>builder();
    for (int i = 0; i < world.definitions().size(); i++) {
      UpstreamDefinition definition = world.definitions().get(i);
      int limit = definition.concurrencyLimit() + extra;
      var link = new UpstreamLink(world, definition, world.host(i % TrafficWorld.HOSTS), limit);
      links.put(definition.id(), link);
    }
    var all = links.buildOrThrow();
    ImmutableList<EntryDaemon> daemons =
        IntStream.range(0, TrafficWorld.HOSTS)
            .mapToObj(
                i ->
                    new EntryDaemon(
                        world, world.host(i), all, attempts::incrementAndGet, random.split()))
            .collect(ImmutableList.toImmutableList());
    return new RouterPath(all, daemons, random.split());
  }

  @Override
  public void submit(CallerRequest request, Consumer<CallerReply> reply) {
    daemons.get(balancer.nextInt(daemons.size())).submit(request, reply);
  }

  UpstreamLink link(UpstreamId upstream) {
    return links.get(upstream);
  }

  ImmutableList<UpstreamLink> links() {
    return links.values().asList();
  }
}
