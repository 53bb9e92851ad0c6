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
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.ControlPart;
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
 * Spreads the configuration, home maps, assignments and dispatcher maps among daemons.
 *
 * <p>One daemon speaks for its cell: the coordinator, or the first live daemon while none is known.
 * It reads the platform, sends digests to other cells and to its cell mates, and passes on at once
 * what has changed. Whoever lacks a version pulls it from the sender of the digest.
 */
public final class DisseminationControl implements ControlPart, ConfigurationAge {
  private static final Duration PUSH_INTERVAL = Duration.ofMillis(500);

  /** Makes up for lost announcements and refreshes the age; each change is announced at once. */
  private static final Duration CELL_INTERVAL = Duration.ofSeconds(10);

  private static final int FAN_OUT = 3;

  private final VersionStore store;
  private final MembershipView members;
  private final OwnershipView ownership;
  private final PlatformReads reads;
  private final CellContacts contacts;
  private final PeerSelector selector;
  private final DigestComposer digests;
  private final StatedVersions stated;
  private final PullQueue pulls = new PullQueue();
  private final ConfirmedTime confirmed = new ConfirmedTime();
  private final ConfigurationLog log = new ConfigurationLog();
  private Optional<Long> startNanos = Optional.empty();
  private long pushDueNanos = Long.MIN_VALUE;
  private long cellDueNanos = Long.MIN_VALUE;
  private long round;
  private long announced;

  private DisseminationControl(Builder builder) {
    store = checkNotNull(builder.store, "store");
    members = checkNotNull(builder.members, "members");
    ownership = checkNotNull(builder.ownership, "ownership");
    reads = new PlatformReads(checkNotNull(builder.calls, "calls"));
    contacts = new CellContacts(members);
    selector =
        new PeerSelector(
            members.self().id(), builder.choice, checkNotNull(builder.random, "random"));
    digests = new DigestComposer(store);
    stated = new StatedVersions(store);
  }

  /**
   * Returns a builder that chooses peers by {@link PeerChoice.RendezvousPerRound}.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public Optional<Duration> age(long nowNanos) {
    return confirmed.age(nowNanos);
  }

  @Override
  public ImmutableList<ControlAction> handle(ControlEvent event, long nowNanos) {
    var actions = ImmutableList.<ControlAction>builder();
    actions.addAll(decide(event, nowNanos));
    actions.addAll(log.applied(store.configuration()));
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
    boolean speaks = speaksForCell(nowNanos);
    var actions = ImmutableList.<ControlAction>builder();
    actions.addAll(reads.tick(speaks, nowNanos));
    if (speaks && nowNanos >= pushDueNanos) {
      pushDueNanos = nowNanos + PUSH_INTERVAL.toNanos();
      round++;
      actions.addAll(send(otherCells(nowNanos), digests.periodic(age(nowNanos))));
    }
    if (speaks && nowNanos >= cellDueNanos) {
      cellDueNanos = nowNanos + CELL_INTERVAL.toNanos();
      actions.addAll(send(cellMates(nowNanos), digests.periodic(age(nowNanos))));
    }
    return actions.build();
  }

  private boolean speaksForCell(long nowNanos) {
    return speaker(nowNanos).equals(Optional.of(self()));
  }

  private Optional<HostId> speaker(long nowNanos) {
    ImmutableSet<HostId> live = members.live(members.self().cell(), nowNanos);
    return ownership.coordinator().filter(live::contains).or(() -> live.stream().findFirst());
  }

  private HostId self() {
    return members.self().id();
  }

  private ImmutableSet<HostId> otherCells(long nowNanos) {
    Duration uptime = Duration.ofNanos(nowNanos - startNanos.orElse(nowNanos));
    return selector.choose(
        contacts.candidates(round, nowNanos), new Candidate(self(), uptime), FAN_OUT, round);
  }

  private ImmutableSet<HostId> cellMates(long nowNanos) {
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
      case PeerMessage.Heartbeat m -> onChanges(from, m.digest(), nowNanos);
      case PeerMessage.HeartbeatAck m -> onChanges(from, m.digest(), nowNanos);
      case PeerMessage.Pull m -> onPull(from, m);
      case PeerMessage.PullReply m -> onPullReply(from, m.values(), nowNanos);
      case PeerMessage.Hello m -> onHello(from, m, nowNanos);
      case PeerMessage.PromiseRequest m -> ImmutableList.of();
      case PeerMessage.Promise m -> ImmutableList.of();
      case PeerMessage.Leaving m -> ImmutableList.of();
    };
  }

  /** Names all versions to a daemon that starts, which is one that asks for all hosts. */
  private ImmutableList<ControlAction> onHello(
      HostId from, PeerMessage.Hello hello, long nowNanos) {
    return hello.wantsReply() && hello.known().isEmpty()
        ? ImmutableList.of(new SendToPeer(from, digests.all(age(nowNanos))))
        : ImmutableList.of();
  }

  private ImmutableList<ControlAction> onDigest(HostId from, Digest digest, long nowNanos) {
    contacts.digestFrom(from, nowNanos);
    confirm(digest, nowNanos);
    return ImmutableList.<ControlAction>builder()
        .addAll(compare(from, digest, nowNanos))
        .addAll(correct(from, digest, nowNanos))
        .build();
  }

  private void confirm(Digest digest, long nowNanos) {
    Epoch stated = digest.versions().get(Configuration.NAME);
    if (store.configuration().versionEpoch().equals(stated)) {
      digest.age().ifPresent(a -> confirmed.confirm(nowNanos - a.toNanos()));
    }
  }

  private ImmutableList<ControlAction> onChanges(HostId from, Digest digest, long nowNanos) {
    notePeer(digest);
    return compare(from, stated.note(from, digest), nowNanos);
  }

  private ImmutableList<ControlAction> compare(HostId from, Digest digest, long nowNanos) {
    notePeer(digest);
    return pulls.want(from, store.missing(digest), digest, nowNanos);
  }

  private void notePeer(Digest digest) {
    if (digest.versions().containsKey(Configuration.NAME)) {
      reads.peerAnswered();
    }
  }

  /** Tells a peer, for example one whose network has healed, which of its versions are old. */
  private ImmutableList<ControlAction> correct(HostId from, Digest digest, long nowNanos) {
    ImmutableMap<String, Epoch> later =
        digest.versions().entrySet().stream()
            .flatMap(
                e ->
                    store
                        .value(e.getKey())
                        .filter(v -> v.versionEpoch().isAfter(e.getValue()))
                        .stream())
            .collect(toImmutableMap(Versioned::name, Versioned::versionEpoch));
    return later.isEmpty()
        ? ImmutableList.of()
        : ImmutableList.of(new SendToPeer(from, new Digest(later, age(nowNanos))));
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
    boolean isFromSpeaker = speaker(nowNanos).equals(Optional.of(from));
    boolean hadAnnouncedAll = announced == store.arrivals();
    ImmutableList<ControlAction> taken = takeOver(values);
    if (isFromSpeaker && hadAnnouncedAll) {
      // The speaker has these values; telling it again would cost a message per member and change.
      announced = store.arrivals();
    }
    return ImmutableList.<ControlAction>builder()
        .addAll(taken)
        .addAll(pulls.answered(from, values, nowNanos))
        .build();
  }

  private ImmutableList<ControlAction> takeOver(ImmutableList<Versioned> values) {
    var actions = ImmutableList.<ControlAction>builder();
    boolean changed = false;
    for (Versioned value : values) {
      actions.addAll(log.stale(value, store.configuration()));
      changed |= store.offer(value);
    }
    if (changed) {
      actions.add(new RoutingChanged());
    }
    return actions.build();
  }

  private ImmutableList<ControlAction> onReply(long call, Reply reply, long nowNanos) {
    Optional<ImmutableList<Versioned>> values = RowValues.of(reply);
    Optional<PlatformReads.Read> read = reads.ended(call, values.isPresent(), nowNanos);
    if (read.isEmpty()) {
      return ImmutableList.of();
    }
    if (values.isEmpty()) {
      return log.platformUnreachable();
    }
    var actions = ImmutableList.<ControlAction>builder();
    actions.addAll(log.platformReachable());
    actions.addAll(takeOver(values.get()));
    if (read.get().prefix().equals(Configuration.NAME) && isInForce(values.get())) {
      confirmed.confirm(read.get().sentNanos());
    }
    return actions.build();
  }

  private boolean isInForce(ImmutableList<Versioned> head) {
    Epoch newest = head.stream().map(Versioned::versionEpoch).findFirst().orElse(Epoch.NONE);
    return store.configuration().versionEpoch().equals(newest);
  }

  /** Passes on what has changed since the last call, whichever part changed it. */
  private ImmutableList<ControlAction> announce(long nowNanos) {
    if (announced == store.arrivals()) {
      return ImmutableList.of();
    }
    Digest digest = digests.changedSince(announced, age(nowNanos));
    announced = store.arrivals();
    var receivers = new LinkedHashSet<HostId>();
    if (speaksForCell(nowNanos)) {
      round++;
      receivers.addAll(otherCells(nowNanos));
      receivers.addAll(cellMates(nowNanos));
    } else {
      speaker(nowNanos).ifPresent(receivers::add);
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
     * Sets the store that the parts of the daemon share.
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
     * Sets the numbers of the platform calls, shared among the parts of the daemon.
     *
     * @param calls the numbers
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
     * Sets the rule that chooses the peers.
     *
     * @param choice the rule
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder choice(PeerChoice choice) {
      this.choice = choice;
      return this;
    }

    /**
     * Builds the part.
     *
     * @return the part
     */
    public DisseminationControl build() {
      return new DisseminationControl(this);
    }
  }
}
