package org.catkinlift.upstreams;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.upstreams.UpstreamStatus.Cause;

/**
 * Keeps which upstreams are in service and which leave.
 *
 * <p>Entries lapse while the store is away. Those are kept until their upstreams have had time to
 * state themselves again. Confined to the control thread.
 */
public final class UpstreamDirectory {
  /** Within this time after an outage, living upstreams are listed again. */
  private static final Duration RELISTING = Duration.ofMillis(2_300);

  /** How long an upstream that has left is remembered, so that its keys can be taken back. */
  private static final Duration REMEMBERED = Duration.ofSeconds(12);

  private final Map<UpstreamId, Entry> entries = new LinkedHashMap<>();
  private ImmutableMap<UpstreamId, UpstreamRecord> listed = ImmutableMap.of();
  private ImmutableSet<ZoneName> zonesOut = ImmutableSet.of();
  private boolean storeAnswers = true;
  private Optional<Long> relistedByNanos = Optional.empty();

  /**
   * An upstream and whether it may get new work.
   *
   * @param upstream what it last stated about itself
   * @param status whether it may get new work
   */
  public record Entry(UpstreamRecord upstream, UpstreamStatus status) {}

  /**
   * Takes all upstreams that are listed.
   *
   * @param all the upstreams by name
   * @param nowNanos the time
   */
  public void listed(ImmutableMap<UpstreamId, UpstreamRecord> all, long nowNanos) {
    listed = all;
    refresh(nowNanos);
  }

  /**
   * Takes the availability zones that operators have taken out.
   *
   * @param zones the zones
   * @param nowNanos the time
   */
  public void zonesOut(ImmutableSet<ZoneName> zones, long nowNanos) {
    zonesOut = zones;
    refresh(nowNanos);
  }

  /**
   * Takes whether the store answers.
   *
   * @param answers whether it does
   * @param nowNanos the time
   */
  public void storeAnswers(boolean answers, long nowNanos) {
    if (answers && !storeAnswers) {
      tolerate(RELISTING, nowNanos);
    }
    storeAnswers = answers;
  }

  /**
   * Returns for how long upstreams that are not listed may still be listed again after an outage.
   *
   * @param nowNanos the time
   * @return zero if missing upstreams have gone
   */
  public Duration tolerance(long nowNanos) {
    if (!storeAnswers) {
      return RELISTING;
    }
    return Duration.ofNanos(relistedByNanos.map(by -> Math.max(0, by - nowNanos)).orElse(0L));
  }

  /**
   * Takes for how long another daemon, which asks the store, tolerates missing upstreams.
   *
   * @param tolerance the time from now on
   * @param nowNanos the time
   */
  public void tolerate(Duration tolerance, long nowNanos) {
    long until = nowNanos + tolerance.toNanos();
    if (relistedByNanos.isEmpty() || until > relistedByNanos.get()) {
      relistedByNanos = Optional.of(until);
    }
  }

  /**
   * Brings the entries up to date with the time.
   *
   * @param nowNanos the time
   * @return true if an entry has changed
   */
  public boolean refresh(long nowNanos) {
    Map<UpstreamId, Entry> before = new LinkedHashMap<>(entries);
    for (UpstreamRecord upstream : listed.values()) {
      entries.put(upstream.id(), new Entry(upstream, statusOf(upstream, nowNanos)));
    }
    Set<UpstreamId> forgotten = new HashSet<>();
    entries.replaceAll((id, e) -> listed.containsKey(id) ? e : missing(e, nowNanos, forgotten));
    entries.keySet().removeAll(forgotten);
    return !entries.equals(before);
  }

  private UpstreamStatus statusOf(UpstreamRecord upstream, long nowNanos) {
    if (upstream.draining()) {
      return leaving(upstream, Cause.DRAINING, nowNanos);
    }
    if (zonesOut.contains(upstream.zone())) {
      return leaving(upstream, Cause.ZONE_OUT, nowNanos);
    }
    return new UpstreamStatus.InService();
  }

  private UpstreamStatus leaving(UpstreamRecord upstream, Cause cause, long nowNanos) {
    Entry known = entries.get(upstream.id());
    if (known == null || !known.upstream().isSameLife(upstream)) {
      return new UpstreamStatus.Leaving(nowNanos, cause);
    }
    return switch (known.status()) {
      case UpstreamStatus.Leaving leaving when leaving.cause() == cause -> leaving;
      case UpstreamStatus.Leaving other -> new UpstreamStatus.Leaving(nowNanos, cause);
      case UpstreamStatus.InService in -> new UpstreamStatus.Leaving(nowNanos, cause);
    };
  }

  private Entry missing(Entry entry, long nowNanos, Set<UpstreamId> forgotten) {
    return switch (entry.status()) {
      case UpstreamStatus.InService in -> {
        boolean mayComeBack = !tolerance(nowNanos).isZero();
        yield mayComeBack
            ? entry
            : new Entry(entry.upstream(), new UpstreamStatus.Leaving(nowNanos, Cause.UNLISTED));
      }
      case UpstreamStatus.Leaving leaving -> {
        if (nowNanos - leaving.sinceNanos() > REMEMBERED.toNanos()) {
          forgotten.add(entry.upstream().id());
        }
        yield entry;
      }
    };
  }

  /**
   * Returns all upstreams that are listed or remembered.
   *
   * @return the entries
   */
  public ImmutableList<Entry> entries() {
    return ImmutableList.copyOf(entries.values());
  }
}
