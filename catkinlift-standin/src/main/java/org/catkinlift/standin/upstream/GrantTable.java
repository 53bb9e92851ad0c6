package org.catkinlift.standin.upstream;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Maps;
import java.util.Optional;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.ServiceName;

/**
 * The grants of one instance of an upstream; decides which requests they cover.
 *
 * @param latestSequence the highest sequence seen since the instance started
 * @param grants the current grant of each service
 */
public record GrantTable(
    Epoch latestSequence, ImmutableMap<ServiceName, UpstreamRequest.Grant> grants) {

  /** The table of a newly started upstream. */
  public static final GrantTable EMPTY = new GrantTable(Epoch.NONE, ImmutableMap.of());

  /**
   * Returns the table after a grant is accepted.
   *
   * @param grant the grant
   * @param instance the current instance of the upstream
   * @return the next table; empty if the grant is for another instance or has a lower sequence than
   *     one already seen
   */
  public Optional<GrantTable> with(UpstreamRequest.Grant grant, String instance) {
    if (!grant.instance().equals(instance) || latestSequence.isAfter(grant.sequence())) {
      return Optional.empty();
    }
    return Optional.of(replace(grant.sequence(), grant));
  }

  /**
   * Returns the table after slots and keys are released.
   *
   * @param release the request
   * @return the next table; empty if the request has a lower sequence than one already seen
   */
  public Optional<GrantTable> without(UpstreamRequest.Release release) {
    if (latestSequence.isAfter(release.sequence())) {
      return Optional.empty();
    }
    UpstreamRequest.Grant held = grants.get(release.service());
    if (held == null) {
      return Optional.of(new GrantTable(release.sequence(), grants));
    }
    var remaining =
        new UpstreamRequest.Grant(
            held.service(),
            held.instance(),
            held.sequence(),
            held.expiresAtMillis(),
            held.dispatcher(),
            ImmutableSortedMap.copyOfSorted(
                Maps.filterKeys(held.slots(), s -> !release.slots().contains(s))),
            ImmutableSortedMap.copyOfSorted(
                Maps.filterKeys(held.overrides(), k -> !release.overrides().contains(k))));
    return Optional.of(replace(release.sequence(), remaining));
  }

  /**
   * Returns whether a request may run.
   *
   * @param work the request
   * @param clockMillis the current reading of the upstream's clock
   * @return true if it requires no grant, or an unexpired grant names its dispatcher and, for a
   *     keyed service, its epoch
   */
  public boolean covers(Work work, long clockMillis) {
    if (!work.requiresGrant()) {
      return true;
    }
    return grants.values().stream()
        .filter(g -> g.expiresAtMillis() > clockMillis)
        .filter(g -> g.dispatcher().value().equals(work.dispatcher()))
        .anyMatch(g -> isUnkeyed(g, work) || work.epoch().equals(epochOf(g, work)));
  }

  /** Grants of services that are not partitioned by key name only the dispatcher. */
  private static boolean isUnkeyed(UpstreamRequest.Grant grant, Work work) {
    return work.slot() == Work.NO_SLOT && grant.slots().isEmpty() && grant.overrides().isEmpty();
  }

  private static Epoch epochOf(UpstreamRequest.Grant grant, Work work) {
    Epoch override = grant.overrides().get(work.task().key());
    return override == null ? grant.slots().get(work.slot()) : override;
  }

  private GrantTable replace(Epoch sequence, UpstreamRequest.Grant grant) {
    return new GrantTable(
        sequence,
        ImmutableMap.<ServiceName, UpstreamRequest.Grant>builder()
            .putAll(grants)
            .put(grant.service(), grant)
            .buildKeepingLast());
  }
}
