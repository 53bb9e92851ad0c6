package org.catkinlift.configuration;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.SplittableRandom;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlAction.RoutingChanged;
import org.catkinlift.control.ControlAction.SendToPeer;
import org.catkinlift.control.ControlComponent;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.MembershipView;
import org.catkinlift.control.OwnershipView;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.PeerMessage.Digest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.VersionStore;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.Versioned;

/**
 * Disseminates versioned values, such as the configuration, home maps, assignments and dispatcher
 * maps, among daemons.
 *
 * <p>Each cell has one representative: its coordinator or, while no live coordinator is known, its
 * first live daemon. The representative reads the platform, sends periodic digests to other cells
 * and to the other daemons of its own cell, and announces changes immediately. A daemon that lacks
 * a version pulls it from the sender of the digest.
 */
public final class DisseminationControl implements ControlComponent, ConfigurationAge {
  private static final Duration CROSS_CELL_PUSH_INTERVAL = Duration.ofMillis(500);

  /** Repairs lost announcements and refreshes the age; changes are announced immediately. */
  private static final Duration INTRA_CELL_PUSH_INTERVAL = Duration.ofSeconds(10);

  private static final int FAN_OUT = 3;

  private final VersionStore store;
  private final MembershipView members;
  private final OwnershipView ownership;
  private final PlatformReadScheduler readScheduler;
  private final CellContacts contacts;
  private final PeerSelector selector;
  private final DigestComposer digestComposer;
  private final AdvertisedVersions advertised;
  private final PullQueue pulls = new PullQueue();
  private final ConfirmedTime confirmedTime = new ConfirmedTime();
  private final ConfigurationLogger logger = new ConfigurationLogger();
  private Optional<Long> startNanos = Optional.empty();
  private long crossCellPushDueNanos = Long.MIN_VALUE;
  private long intraCellPushDueNanos = Long.MIN_VALUE;
  private long round;
  private long announcedUpdates;

  private DisseminationControl(Builder builder) {
    store = checkNotNull(builder.store, "store");
    members = checkNotNull(builder.members, "members");
    ownership = checkNotNull(builder.ownership, "ownership");
    readScheduler = new PlatformReadScheduler(checkNotNull(builder.calls, "calls"));
    contacts = new CellContacts(members);
    selector =
        new PeerSelector(
            members.self().id(), builder.choice, checkNotNull(builder.random, "random"));
    digestComposer = new DigestComposer(store);
    advertised = new AdvertisedVersions(store);
  }

  /**
   * Returns a builder whose default peer choice is {@link PeerChoice.RendezvousPerRound}.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public Optional<Duration> age(long nowNanos) {
    return confirmedTime.age(nowNanos);
  }

  @Override
  public ImmutableList<ControlAction> handle(ControlEvent event, long nowNanos) {
    var actions = ImmutableList.<ControlAction>builder();
    actions.addAll(decide(event, nowNanos));
    actions.addAll(logger.applied(store.configuration()));
    actions.addAll(announce(nowNanos));
    return actions.build();
  }

  private ImmutableList<ControlAction> decide(ControlEvent event, long nowNanos) {
    return switch (event) {
      case ControlEvent.Tick t -> onTick(nowNanos);
      case ControlEvent.PeerMessageReceived m -> onMessage(m.from(), m.message(), nowNanos);
      case ControlEvent.PlatformReplied r -> onReply(r.call(), r.reply(), nowNanos);
      case ControlEvent.UpstreamReplied u -> ImmutableList.of();
      case ControlEvent.LoadReported l -> ImmutableList.of();
      case ControlEvent.OperatorRequested o -> ImmutableList.of();
      case ControlEvent.StopRequested s -> ImmutableList.of();
    };
  }

  private ImmutableList<ControlAction> onTick(long nowNanos) {
    startNanos = Optional.of(startNanos.orElse(nowNanos));
    pulls.tick(nowNanos);
    boolean isRepresentative = isCellRepresentative(nowNanos);
    var actions = ImmutableList.<ControlAction>builder();
    actions.addAll(readScheduler.tick(isRepresentative, nowNanos));
    if (isRepresentative && nowNanos >= crossCellPushDueNanos) {
      crossCellPushDueNanos = nowNanos + CROSS_CELL_PUSH_INTERVAL.toNanos();
      round++;
      actions.addAll(send(otherCellPeers(nowNanos), digestComposer.periodic(age(nowNanos))));
    }
    if (isRepresentative && nowNanos >= intraCellPushDueNanos) {
      intraCellPushDueNanos = nowNanos + INTRA_CELL_PUSH_INTERVAL.toNanos();
      actions.addAll(send(ownCellPeers(nowNanos), digestComposer.periodic(age(nowNanos))));
    }
    return actions.build();
  }

  private boolean isCellRepresentative(long nowNanos) {
    return cellRepresentative(nowNanos).equals(Optional.of(self()));
  }

  private Optional<HostId> cellRepresentative(long nowNanos) {
    ImmutableSet<HostId> live = members.live(members.self().cell(), nowNanos);
    return ownership.coordinator().filter(live::contains).or(() -> live.stream().findFirst());
  }

  private HostId self() {
    return members.self().id();
  }

  private ImmutableSet<HostId> otherCellPeers(long nowNanos) {
    Duration uptime = Duration.ofNanos(nowNanos - startNanos.orElse(nowNanos));
    return selector.choose(
        contacts.candidates(round, nowNanos), new Candidate(self(), uptime), FAN_OUT, round);
  }

  private ImmutableSet<HostId> ownCellPeers(long nowNanos) {
    return members.live(members.self().cell(), nowNanos).stream()
        .filter(h -> !h.equals(self()))
        .collect(ImmutableSet.toImmutableSet());
  }

  private static ImmutableList<ControlAction> send(ImmutableSet<HostId> peers, Digest digest) {
    return peers.stream().map(h -> new SendToPeer(h, digest)).collect(toImmutableList());
  }

  private ImmutableList<ControlAction> onMessage(HostId from, PeerMessage message, long nowNanos) {
    return switch (message) {
      case PeerMessage.Digest m -> onDigest(from, m, nowNanos);
      case PeerMessage.Heartbeat m -> onHeartbeatDigest(from, m.digest(), nowNanos);
      case PeerMessage.HeartbeatAck m -> onHeartbeatDigest(from, m.digest(), nowNanos);
      case PeerMessage.Pull m -> onPull(from, m);
      case PeerMessage.PullReply m -> onPullReply(from, m.values(), nowNanos);
      case PeerMessage.Hello m -> onHello(from, m, nowNanos);
      case PeerMessage.PromiseRequest m -> ImmutableList.of();
      case PeerMessage.Promise m -> ImmutableList.of();
      case PeerMessage.Leaving m -> ImmutableList.of();
    };
  }

  /** Sends the versions of all values to a starting daemon, whose hello lists no known hosts. */
  private ImmutableList<ControlAction> onHello(
      HostId from, PeerMessage.Hello hello, long nowNanos) {
    return hello.wantsReply() && hello.known().isEmpty()
        ? ImmutableList.of(new SendToPeer(from, digestComposer.all(age(nowNanos))))
        : ImmutableList.of();
  }

  private ImmutableList<ControlAction> onDigest(HostId from, Digest digest, long nowNanos) {
    contacts.recordDigest(from, nowNanos);
    confirm(digest, nowNanos);
    return ImmutableList.<ControlAction>builder()
        .addAll(pullNewer(from, digest, nowNanos))
        .addAll(sendNewer(from, digest, nowNanos))
        .build();
  }

  private void confirm(Digest digest, long nowNanos) {
    Epoch advertisedVersion = digest.versions().get(Configuration.NAME);
    if (store.configuration().versionEpoch().equals(advertisedVersion)) {
      digest.age().ifPresent(a -> confirmedTime.confirm(nowNanos - a.toNanos()));
    }
  }

  private ImmutableList<ControlAction> onHeartbeatDigest(
      HostId from, Digest digest, long nowNanos) {
    recordPeerAnswer(digest);
    return pullNewer(from, advertised.recordDigest(from, digest), nowNanos);
  }

  private ImmutableList<ControlAction> pullNewer(HostId from, Digest digest, long nowNanos) {
    recordPeerAnswer(digest);
    return pulls.enqueue(from, store.missing(digest), digest, nowNanos);
  }

  private void recordPeerAnswer(Digest digest) {
    if (digest.versions().containsKey(Configuration.NAME)) {
      readScheduler.peerAnswered();
    }
  }

  /** Sends a peer the versions that are newer here, for example after a network partition. */
  private ImmutableList<ControlAction> sendNewer(HostId from, Digest digest, long nowNanos) {
    ImmutableMap<String, Epoch> newer =
        digest.versions().entrySet().stream()
            .flatMap(
                e ->
                    store
                        .value(e.getKey())
                        .filter(v -> v.versionEpoch().isAfter(e.getValue()))
                        .stream())
            .collect(toImmutableMap(Versioned::name, Versioned::versionEpoch));
    return newer.isEmpty()
        ? ImmutableList.of()
        : ImmutableList.of(new SendToPeer(from, new Digest(newer, age(nowNanos))));
  }

  private ImmutableList<ControlAction> onPull(HostId from, PeerMessage.Pull pull) {
    ImmutableList<Versioned> values =
        pull.names().stream()
            .map(store::value)
            .flatMap(Optional::stream)
            .collect(toImmutableList());
    return ImmutableList.of(new SendToPeer(from, new PeerMessage.PullReply(values)));
  }

  private ImmutableList<ControlAction> onPullReply(
      HostId from, ImmutableList<Versioned> values, long nowNanos) {
    boolean isFromRepresentative = cellRepresentative(nowNanos).equals(Optional.of(from));
    boolean hadAnnouncedAll = announcedUpdates == store.updateCount();
    ImmutableList<ControlAction> applied = applyValues(values);
    if (isFromRepresentative && hadAnnouncedAll) {
      // The representative has these values; announcing them to it would cost one message per
      // member and change.
      announcedUpdates = store.updateCount();
    }
    return ImmutableList.<ControlAction>builder()
        .addAll(applied)
        .addAll(pulls.answered(from, values, nowNanos))
        .build();
  }

  private ImmutableList<ControlAction> applyValues(ImmutableList<Versioned> values) {
    var actions = ImmutableList.<ControlAction>builder();
    boolean changed = false;
    for (Versioned value : values) {
      actions.addAll(logger.stale(value, store.configuration()));
      changed |= store.offer(value);
    }
    if (changed) {
      actions.add(new RoutingChanged());
    }
    return actions.build();
  }

  private ImmutableList<ControlAction> onReply(long call, Reply reply, long nowNanos) {
    Optional<ImmutableList<Versioned>> values = VersionedRows.of(reply);
    Optional<PlatformReadScheduler.Read> read =
        readScheduler.completed(call, values.isPresent(), nowNanos);
    if (read.isEmpty()) {
      return ImmutableList.of();
    }
    if (values.isEmpty()) {
      return logger.platformUnreachable();
    }
    var actions = ImmutableList.<ControlAction>builder();
    actions.addAll(logger.platformReachable());
    actions.addAll(applyValues(values.get()));
    if (read.get().prefix().equals(Configuration.NAME) && isInForce(values.get())) {
      confirmedTime.confirm(read.get().sentNanos());
    }
    return actions.build();
  }

  private boolean isInForce(ImmutableList<Versioned> head) {
    Epoch newest = head.stream().map(Versioned::versionEpoch).findFirst().orElse(Epoch.NONE);
    return store.configuration().versionEpoch().equals(newest);
  }

  /** Announces the values updated since the last call, whichever component updated them. */
  private ImmutableList<ControlAction> announce(long nowNanos) {
    if (announcedUpdates == store.updateCount()) {
      return ImmutableList.of();
    }
    Digest digest = digestComposer.changedSince(announcedUpdates, age(nowNanos));
    announcedUpdates = store.updateCount();
    var receivers = new LinkedHashSet<HostId>();
    if (isCellRepresentative(nowNanos)) {
      round++;
      receivers.addAll(otherCellPeers(nowNanos));
      receivers.addAll(ownCellPeers(nowNanos));
    } else {
      cellRepresentative(nowNanos).ifPresent(receivers::add);
    }
    return send(ImmutableSet.copyOf(receivers), digest);
  }

  /** Builds a {@link DisseminationControl}. */
  public static final class Builder {
    private VersionStore store;
    private MembershipView members;
    private OwnershipView ownership;
    private CallNumbers calls;
    private SplittableRandom random;
    private PeerChoice choice = new PeerChoice.RendezvousPerRound();

    private Builder() {}

    /**
     * Sets the store that the control components of the daemon share.
     *
     * @param store the store
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder store(VersionStore store) {
      this.store = store;
      return this;
    }

    /**
     * Sets the view of the known daemons.
     *
     * @param members the view
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder members(MembershipView members) {
      this.members = members;
      return this;
    }

    /**
     * Sets the view of the coordinator role.
     *
     * @param ownership the view
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder ownership(OwnershipView ownership) {
      this.ownership = ownership;
      return this;
    }

    /**
     * Sets the generator of call numbers that the control components of the daemon share.
     *
     * @param calls the generator
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder calls(CallNumbers calls) {
      this.calls = calls;
      return this;
    }

    /**
     * Sets the source of random numbers.
     *
     * @param random the seeded source
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder random(SplittableRandom random) {
      this.random = random;
      return this;
    }

    /**
     * Sets the strategy that chooses the peers.
     *
     * @param choice the strategy
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder choice(PeerChoice choice) {
      this.choice = choice;
      return this;
    }

    /**
     * Builds the component.
     *
     * @return the component
     */
    public DisseminationControl build() {
      return new DisseminationControl(this);
    }
  }
}
