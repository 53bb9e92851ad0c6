package org.catkinlift.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.catkinlift.control.PeerMessage.Digest;
import org.catkinlift.model.CellId;
import org.catkinlift.model.DispatcherMap;
import org.catkinlift.model.Epoch;
import org.junit.jupiter.api.Test;

final class DigestExchangeTest {
  private static final long INCARNATION = 7;
  private static final int STEPS = 400;
  private static final int SEEDS = 200;

  private final Peer sender = new Peer(INCARNATION);
  private Peer receiver = new Peer(INCARNATION);

  /** One side of an exchange, with all versions that it has seen. */
  private static final class Peer {
    private final VersionStore store = new VersionStore();
    private final DigestExchange exchange = new DigestExchange(store);
    private final Map<String, Epoch> seen = new HashMap<>();
    private final long incarnation;
    private long newestNumber;
    private long senderIncarnation;

    private Peer(long incarnation) {
      this.incarnation = incarnation;
    }

    private void change(int cell, long counter) {
      var value =
          new DispatcherMap(CellId.of("cell-" + cell), Epoch.of(1, counter), ImmutableMap.of());
      store.offer(value);
    }

    private Message next(long number) {
      DigestExchange.Outgoing next = exchange.next(number);
      var range = new DigestRange(incarnation, next.base(), exchange.acknowledged());
      return new Message(number, next.digest(), range, store.digest());
    }

    private void receive(Message message) {
      message.digest.versions().forEach((n, v) -> seen.merge(n, v, DigestExchangeTest::later));
      if (message.number > newestNumber) {
        newestNumber = message.number;
        senderIncarnation = message.range.incarnation();
        exchange.received(message.range.incarnation(), message.number, message.range);
      }
    }

    private boolean hasSeen(Digest all) {
      return all.versions().entrySet().stream()
          .noneMatch(e -> e.getValue().isAfter(seen.getOrDefault(e.getKey(), Epoch.NONE)));
    }
  }

  private record Message(long number, Digest digest, DigestRange range, Digest allVersions) {}

  private static Epoch later(Epoch a, Epoch b) {
    return a.isAfter(b) ? a : b;
  }

  /** Exchanges one message in each direction. */
  private void exchange(long number) {
    receiver.receive(sender.next(number));
    sender.receive(receiver.next(number));
  }

  /** Guards against digests that grow with the number of values although nothing has changed. */
  @Test
  void sendsAllVersionsOnceThenOnlyChanges() {
    sender.change(1, 1);
    sender.change(2, 1);
    assertThat(sender.next(1).digest.versions()).hasSize(2);
    exchange(5);

    assertThat(sender.next(6).digest.versions()).isEmpty();
    sender.change(2, 2);
    assertThat(sender.next(7).digest.versions())
        .containsExactly("dispatchers/cell-2", Epoch.of(1, 2));
  }

  /**
   * Guards against a change that is never sent again after the message that contained it was lost.
   */
  @Test
  void lostChangeIsSentAgain() {
    exchange(1);
    sender.change(1, 1);
    sender.next(2);

    receiver.receive(sender.next(3));

    assertThat(receiver.seen).containsExactly("dispatchers/cell-1", Epoch.of(1, 1));
    assertThat(receiver.exchange.acknowledged()).isEqualTo(3);
  }

  /** Guards against a sender that treats a message as acknowledged although its answer was lost. */
  @Test
  void lostAnswerLeavesChangesUnacknowledged() {
    exchange(1);
    sender.change(1, 1);
    receiver.receive(sender.next(2));

    assertThat(sender.next(3).digest.versions()).hasSize(1);
  }

  /** Guards against an older or duplicate message that lowers the acknowledged number. */
  @Test
  void reorderedAndDuplicatedMessagesChangeNothing() {
    exchange(1);
    sender.change(1, 1);
    Message older = sender.next(2);
    Message newer = sender.next(3);
    receiver.receive(newer);
    receiver.receive(older);
    receiver.receive(newer);

    assertThat(receiver.exchange.acknowledged()).isEqualTo(3);
    assertThat(receiver.hasSeen(sender.store.digest())).isTrue();
  }

  /** Guards against a restarted receiver that gets only the changes after its start. */
  @Test
  void restartedReceiverGetsAllVersions() {
    sender.change(1, 1);
    exchange(1);
    exchange(2);
    receiver = new Peer(INCARNATION + 1);
    exchange(6);
    assertThat(receiver.exchange.acknowledged()).isEqualTo(0);

    exchange(7);

    assertThat(receiver.exchange.acknowledged()).isEqualTo(7);
    assertThat(receiver.hasSeen(sender.store.digest())).isTrue();
  }

  /**
   * Guards against a late answer of an earlier run that makes a restarted receiver miss versions.
   */
  @Test
  void lateAnswerOfAnEarlierIncarnationAcknowledgesNothing() {
    exchange(1);
    sender.change(1, 1);
    exchange(2);
    Message lateAnswer = receiver.next(8);
    receiver = new Peer(INCARNATION + 1);
    sender.receive(lateAnswer);
    exchange(9);
    assertThat(receiver.exchange.acknowledged()).isEqualTo(0);

    exchange(10);

    assertThat(receiver.hasSeen(sender.store.digest())).isTrue();
  }

  /** Guards against deltas of a restarted sender that are taken for those of its earlier run. */
  @Test
  void deltaOfARestartedSenderIsNotAcknowledged() {
    exchange(1);
    exchange(2);
    var restarted = new Peer(INCARNATION + 1);
    restarted.change(3, 1);
    restarted.exchange.next(1);
    Message delta = new Message(3, new Digest(ImmutableMap.of()), range(2), null);

    receiver.receive(delta);

    assertThat(receiver.exchange.acknowledged()).isEqualTo(0);
  }

  private static DigestRange range(long base) {
    return new DigestRange(INCARNATION + 1, base, 0);
  }

  /** Guards against a sender that never learns of newer versions at the receiver. */
  @Test
  void receiverWithANewerVersionAdvertisesIt() {
    sender.change(1, 1);
    exchange(1);
    receiver.change(1, 5);

    exchange(2);

    assertThat(sender.seen).containsExactly("dispatchers/cell-1", Epoch.of(1, 5));
  }

  /** Guards against 24 KB in each heartbeat to a daemon that does not answer. */
  @Test
  void silentPeerGetsAllVersionsInOneOfFourMessages() {
    sender.change(1, 1);
    int fullDigests = 0;
    for (int number = 1; number <= 100; number++) {
      fullDigests += sender.next(number).digest.versions().size();
    }
    assertThat(fullDigests).isEqualTo(25);
  }

  /**
   * Guards against any order of losses, delays, duplicates and restarts of both sides that makes a
   * daemon acknowledge a message without having seen all versions that its sender had then.
   */
  @Test
  void acknowledgedVersionsHaveBeenSeen() {
    for (int seed = 0; seed < SEEDS; seed++) {
      new RandomizedExchange(seed).run();
    }
  }

  /** Two peers that restart, on a network that loses, delays and duplicates messages. */
  private static final class RandomizedExchange {
    private final SplittableRandom random;
    private final Peer[] peers = {new Peer(1), new Peer(2)};
    private final List<List<Message>> inFlight = List.of(new ArrayList<>(), new ArrayList<>());
    private final Map<Long, Map<Long, Digest>> sent = new HashMap<>();
    private long number;
    private long incarnations = 2;

    private RandomizedExchange(long seed) {
      random = new SplittableRandom(seed);
    }

    private void run() {
      for (int step = 0; step < STEPS; step++) {
        step();
      }
      for (int i = 0; i < 10; i++) {
        number++;
        deliver(0, send(0));
        deliver(1, send(1));
      }
      assertThat(peers[1].hasSeen(peers[0].store.digest())).isTrue();
      assertThat(peers[0].hasSeen(peers[1].store.digest())).isTrue();
    }

    private void step() {
      int side = random.nextInt(2);
      switch (random.nextInt(8)) {
        case 0, 1 -> peers[side].change(random.nextInt(5), ++number);
        case 2, 3 -> {
          number++;
          inFlight.get(side).add(send(side));
        }
        case 4, 5, 6 -> deliverRandomMessage(side);
        default -> maybeRestart(side);
      }
    }

    private Message send(int side) {
      Message message = peers[side].next(number);
      sent.computeIfAbsent(peers[side].incarnation, r -> new HashMap<>())
          .put(number, message.allVersions);
      return message;
    }

    private void deliverRandomMessage(int side) {
      List<Message> messages = inFlight.get(side);
      if (messages.isEmpty()) {
        return;
      }
      int index = random.nextInt(messages.size());
      Message message = messages.get(index);
      int draw = random.nextInt(4);
      if (draw > 0) {
        messages.remove(index); // otherwise a duplicate stays in flight
      }
      if (draw < 3) {
        deliver(side, message);
      }
    }

    private void deliver(int side, Message message) {
      Peer receiver = peers[1 - side];
      receiver.receive(message);
      long acknowledged = receiver.exchange.acknowledged();
      if (acknowledged > 0) {
        assertThat(receiver.hasSeen(sent.get(receiver.senderIncarnation).get(acknowledged)))
            .isTrue();
      }
    }

    private void maybeRestart(int side) {
      if (random.nextInt(10) == 0) {
        peers[side] = new Peer(++incarnations);
      }
    }
  }
}
