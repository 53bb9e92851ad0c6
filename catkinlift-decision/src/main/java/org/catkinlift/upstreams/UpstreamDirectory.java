package org.catkinlift.upstreams;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.upstreams.UpstreamStatus.Cause;

/**
 * Tracks which upstreams are in service and which are leaving.
 *
 * <p>An upstream's own report of draining is final. An upstream that is missing from a list that
 * was read leaves at once, except in a grace period after an outage of the store: entries expire
 * during an outage, and running upstreams register again soon after it. A failed call to the store
 * by itself says nothing about upstreams. Confined to the control thread.
 */
public final class UpstreamDirectory {
  /** Within this time after an outage, all running upstreams are listed again. */
  private static final Duration RELISTING_GRACE_PERIOD = Duration.ofMillis(2_300);

  /** How long an upstream that has left is retained, so that its keys can be revoked. */
  private static final Duration RETENTION = Duration.ofSeconds(12);

  /** Bounds the memory for incarnations that have left. */
  private static final int MAX_DRAINED = 20_000;

  private final Map<UpstreamId, Entry> entries = new LinkedHashMap<>();
  private ImmutableMap<UpstreamId, UpstreamRecord> listed = ImmutableMap.of();
  private final Map<ZoneName, Long> zonesOutSinceNanos = new HashMap<>();
  private ImmutableSet<ZoneName> listedZonesOut = ImmutableSet.of();

  /** Zones that were out of service before a restore of the store; empty after the grace period. */
  private ImmutableSet<ZoneName> retainedZonesOut = ImmutableSet.of();

  /**
   * The incarnations that were listed as draining. Draining is final, but an earlier state of a
   * record may arrive later, or again after the entry was removed.
   */
  private final Set<Incarnation> drained =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Incarnation, Boolean> eldest) {
              return size() > MAX_DRAINED;
            }
          });

  private final StoreContact contact = new StoreContact();
  private OptionalLong gracePeriodEndNanos = OptionalLong.empty();

  /**
   * An upstream and its status.
   *
   * @param upstream the upstream's latest record
   * @param status whether it may receive new work
   */
  public record Entry(UpstreamRecord upstream, UpstreamStatus status) {}

  private record Incarnation(UpstreamId id, long startedMillis) {}

  /**
   * Replaces the list of upstreams that the store contains.
   *
   * @param upstreams the listed upstreams by id
   * @param nowNanos the current time
   */
  public void listed(ImmutableMap<UpstreamId, UpstreamRecord> upstreams, long nowNanos) {
    listed = upstreams;
    refresh(nowNanos);
  }

  /**
   * Sets the availability zones that operators have taken out of service.
   *
   * @param zones the availability zones
   * @param nowNanos the current time
   */
  public void zonesOutOfService(ImmutableSet<ZoneName> zones, long nowNanos) {
    listedZonesOut = zones;
    refresh(nowNanos);
  }

  /**
   * Records that the store was restored from an older copy, which starts a grace period. In it,
   * availability zones that were out of service remain so, because the rows that say so may be lost
   * until operators have written them again.
   *
   * @param nowNanos the current time
   */
  public void storeRestored(long nowNanos) {
    retainedZonesOut = ImmutableSet.copyOf(zonesOutSinceNanos.keySet());
    startGracePeriod(nowNanos);
  }

  private void startGracePeriod(long nowNanos) {
    gracePeriodEndNanos = OptionalLong.of(nowNanos + RELISTING_GRACE_PERIOD.toNanos());
  }

  /**
   * Records that the store responded to a call of this daemon.
   *
   * @param nowNanos the current time
   * @return the length of the outage that has ended, which starts a grace period; zero if there was
   *     none
   */
  public Duration storeAnswered(long nowNanos) {
    return contactEstablished(Duration.ZERO, false, nowNanos);
  }

  /**
   * Records an update of a coordinator that is in contact with the store.
   *
   * @param age the longest time since the store responded to the coordinator
   * @param coordinatorGracePeriod the remaining grace period of the coordinator
   * @param nowNanos the current time
   * @return the length of the outage that has ended, which starts a grace period; zero if there was
   *     none
   */
  public Duration storeConfirmedByCoordinator(
      Duration age, Duration coordinatorGracePeriod, long nowNanos) {
    return contactEstablished(age, !coordinatorGracePeriod.isZero(), nowNanos);
  }

  private Duration contactEstablished(Duration age, boolean coordinatorSawOutage, long nowNanos) {
    Duration outage = contact.established(age, coordinatorSawOutage, nowNanos);
    if (!outage.isZero()) {
      startGracePeriod(nowNanos);
    }
    return outage;
  }

  /** Records that a call of this daemon to the store failed. */
  public void storeCallFailed() {
    contact.callFailed();
  }

  /**
   * Returns the remaining time in which upstreams that are missing from the list after an outage
   * are kept in service. It does not run out while calls to the store fail, because no list can be
   * read then.
   *
   * @param nowNanos the current time
   * @return zero if missing upstreams are considered gone
   */
  public Duration gracePeriod(long nowNanos) {
    if (gracePeriodEndNanos.isEmpty()) {
      return Duration.ZERO;
    }
    long knownUntilNanos = contact.knownUntilNanos(nowNanos);
    return Duration.ofNanos(Math.max(0, gracePeriodEndNanos.getAsLong() - knownUntilNanos));
  }

  /**
   * Recomputes the status of all entries.
   *
   * @param nowNanos the current time
   * @return true if an entry has changed
   */
  public boolean refresh(long nowNanos) {
    Map<UpstreamId, Entry> before = new LinkedHashMap<>(entries);
    refreshZones(nowNanos);
    for (UpstreamRecord upstream : listed.values()) {
      entries.put(upstream.id(), new Entry(upstream, statusOf(upstream, nowNanos)));
    }
    Set<UpstreamId> expired = new HashSet<>();
    entries.replaceAll((id, e) -> listed.containsKey(id) ? e : unlisted(e, nowNanos, expired));
    entries.keySet().removeAll(expired);
    return !entries.equals(before);
  }

  private void refreshZones(long nowNanos) {
    if (gracePeriod(nowNanos).isZero()) {
      retainedZonesOut = ImmutableSet.of();
    }
    Set<ZoneName> zones = new HashSet<>(listedZonesOut);
    zones.addAll(retainedZonesOut);
    zonesOutSinceNanos.keySet().retainAll(zones);
    zones.forEach(zone -> zonesOutSinceNanos.putIfAbsent(zone, nowNanos));
  }

  /**
   * Recomputes what changes by the passage of time alone: the status and the retention of upstreams
   * that are no longer listed, and the zones that are retained after a restore of the store. Costs
   * nothing while all are listed and no zone is retained.
   *
   * @param nowNanos the current time
   * @return true if an entry has changed
   */
  public boolean refreshUnlisted(long nowNanos) {
    boolean mayChange = entries.size() > listed.size() || !retainedZonesOut.isEmpty();
    return mayChange && refresh(nowNanos);
  }

  private UpstreamStatus statusOf(UpstreamRecord upstream, long nowNanos) {
    var incarnation = new Incarnation(upstream.id(), upstream.startedMillis());
    if (upstream.draining()) {
      drained.add(incarnation);
    }
    if (drained.contains(incarnation)) {
      return leaving(upstream, Cause.DRAINING, nowNanos);
    }
    Long outSinceNanos = zonesOutSinceNanos.get(upstream.zone());
    return outSinceNanos == null
        ? new UpstreamStatus.InService()
        : leaving(upstream, Cause.ZONE_OUT_OF_SERVICE, outSinceNanos);
  }

  /** A further cause does not extend the time for which a leaving upstream may get requests. */
  private UpstreamStatus leaving(UpstreamRecord upstream, Cause cause, long sinceNanos) {
    Entry previous = entries.get(upstream.id());
    if (previous == null || !previous.upstream().isSameIncarnation(upstream)) {
      return new UpstreamStatus.Leaving(sinceNanos, cause);
    }
    return switch (previous.status()) {
      case UpstreamStatus.Leaving leaving ->
          new UpstreamStatus.Leaving(Math.min(leaving.sinceNanos(), sinceNanos), cause);
      case UpstreamStatus.InService in -> new UpstreamStatus.Leaving(sinceNanos, cause);
      case UpstreamStatus.Missing missing ->
          new UpstreamStatus.Leaving(Math.min(missing.sinceNanos(), sinceNanos), cause);
    };
  }

  private Entry unlisted(Entry entry, long nowNanos, Set<UpstreamId> expired) {
    return switch (entry.status()) {
      case UpstreamStatus.InService in -> missing(entry, nowNanos, nowNanos);
      case UpstreamStatus.Missing missing -> missing(entry, missing.sinceNanos(), nowNanos);
      case UpstreamStatus.Leaving leaving -> {
        if (nowNanos - leaving.sinceNanos() > RETENTION.toNanos()) {
          expired.add(entry.upstream().id());
        }
        yield entry;
      }
    };
  }

  /**
   * Returns the entry of an unlisted upstream that was in service. When the grace period has ended,
   * the upstream counts as leaving from when it was first missing, so that the grace period does
   * not add to the time for which it gets requests.
   */
  private Entry missing(Entry entry, long sinceNanos, long nowNanos) {
    UpstreamRecord upstream = entry.upstream();
    Long zoneOutSinceNanos = zonesOutSinceNanos.get(upstream.zone());
    if (zoneOutSinceNanos != null) {
      return new Entry(upstream, leaving(upstream, Cause.ZONE_OUT_OF_SERVICE, zoneOutSinceNanos));
    }
    return new Entry(
        upstream,
        gracePeriod(nowNanos).isZero()
            ? new UpstreamStatus.Leaving(sinceNanos, Cause.UNLISTED)
            : new UpstreamStatus.Missing(sinceNanos));
  }

  /**
   * Returns all upstreams that are listed or retained.
   *
   * @return the entries
   */
  public ImmutableList<Entry> entries() {
    return ImmutableList.copyOf(entries.values());
  }
}
