package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;

/** The path under test: entry daemons and dispatchers at all entry hosts of a site. */
final class RouterPath implements RequestPath {
  private final ImmutableMap<UpstreamId, UpstreamLink> links;
  private final ImmutableList<EntryDaemon> daemons;
  private final SplittableRandom entryHostRandom;

  private RouterPath(
      ImmutableMap<UpstreamId, UpstreamLink> links,
      ImmutableList<EntryDaemon> daemons,
      SplittableRandom entryHostRandom) {
    this.links = links;
    this.daemons = daemons;
    this.entryHostRandom = entryHostRandom;
  }

  static RouterPath of(TrafficSimulation simulation, long seed) {
    return withExtraLimit(simulation, seed, 0);
  }

  /**
   * Returns a path with a deliberate defect: each dispatcher allows {@code extraLimit} more
   * requests in flight than its upstream has execution slots.
   */
  static RouterPath withExtraLimit(TrafficSimulation simulation, long seed, int extraLimit) {
    var random = new SplittableRandom(seed);
    var attempts = new AtomicLong();
    var links = ImmutableMap.<UpstreamId, UpstreamLink>builder();
    for (int i = 0; i < simulation.definitions().size(); i++) {
      UpstreamDefinition definition = simulation.definitions().get(i);
      int limit = definition.concurrencyLimit() + extraLimit;
      var link =
          new UpstreamLink(
              simulation, definition, simulation.host(i % TrafficSimulation.HOST_COUNT), limit);
      links.put(definition.id(), link);
    }
    var linksByUpstream = links.buildOrThrow();
    ImmutableList<EntryDaemon> daemons =
        IntStream.range(0, TrafficSimulation.HOST_COUNT)
            .mapToObj(
                i ->
                    new EntryDaemon(
                        simulation,
                        simulation.host(i),
                        linksByUpstream,
                        attempts::incrementAndGet,
                        random.split()))
            .collect(ImmutableList.toImmutableList());
    return new RouterPath(linksByUpstream, daemons, random.split());
  }

  @Override
  public void submit(CallerRequest request, Consumer<CallerReply> reply) {
    daemons.get(entryHostRandom.nextInt(daemons.size())).submit(request, reply);
  }

  UpstreamLink link(UpstreamId upstream) {
    return links.get(upstream);
  }

  ImmutableList<UpstreamLink> links() {
    return links.values().asList();
  }
}
