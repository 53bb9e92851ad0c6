package org.catkinlift.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.PeerMessage.Promise;
import org.catkinlift.control.PeerMessage.PromiseRequest;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue.CellRow;
import org.catkinlift.model.HostId;
import org.junit.jupiter.api.Test;

final class RoleAuthorityTest {
  private static final String ROW = "cell/a";
  private static final long SECOND = 1_000_000_000L;
  private static final long START = 10 * SECOND;
  private static final Duration PROMISE = Duration.ofSeconds(1);
  private static final Duration LONG = Duration.ofMinutes(10);
  private static final HostId SELF = HostId.of("self");
  private static final HostId OTHER = HostId.of("other");
  private static final HostId THIRD = HostId.of("third");

  private final OwnershipTimings timings = OwnershipTimings.defaults();
  private final PromiseRegistry promises = new PromiseRegistry(timings, 0);
  private final RequestIds ids = new RequestIds(SELF, "run");
  private final RoleAuthority authority = new RoleAuthority(ROW, SELF, timings, ids, promises);

  private void acquireRole(String requestId) {
    var row = new CellRow(SELF, 3, ImmutableSortedSet.of(SELF, OTHER), 0);
    authority.observe(Optional.of(new Row(ROW, 1, requestId, row)), START);
  }

  private void requestPromises(Duration duration, long now) {
    authority.requestPromises(ImmutableSet.of(OTHER), duration, now, new Outbox(new CallNumbers()));
  }

  private void receivePromise(long sequence, Duration duration, long now) {
    authority.onPromise(OTHER, new Promise(ROW, 3, sequence, duration, 3), now);
  }

  /** Guards against authority that outlasts a promise whose answer was delayed. */
  @Test
  void promiseCountsFromRequestSendTime() {
    acquireRole(ids.next());
    requestPromises(PROMISE, START);
    receivePromise(1, PROMISE, START + SECOND / 2);
    assertThat(authority.authorityUntil(START)).isEqualTo(START + SECOND);
  }

  /**
   * Guards against a delayed answer that restores a long promise which the voter has already
   * replaced by a shorter one.
   */
  @Test
  void lateAnswerToLongerRequestIsIgnoredAfterShorterRequest() {
    acquireRole(ids.next());
    requestPromises(LONG, START);
    receivePromise(1, LONG, START);
    requestPromises(LONG, START);
    requestPromises(PROMISE, START);
    assertThat(authority.authorityUntil(START)).isEqualTo(START + SECOND);
    receivePromise(2, LONG, START);
    assertThat(authority.authorityUntil(START)).isEqualTo(START + SECOND);
  }

  /**
   * Guards against a delayed write of the role that is applied after this daemon has given a
   * promise.
   */
  @Test
  void ownPromisePrecludesAuthority() {
    promises.observeTerm(ROW, 2);
    promises.promise(new PromiseRequest(ROW, 2, 1, PROMISE), true, START);
    acquireRole(ids.next());
    authority.onRenewed(START);
    assertThat(authority.hasAuthority(START + SECOND / 2)).isFalse();
  }

  /**
   * Guards against a process that treats the role of an earlier run on the same host as its own.
   */
  @Test
  void rowOfEarlierRunGivesNoAuthority() {
    acquireRole("self/earlier/1");
    authority.onRenewed(START);
    assertThat(authority.hasAuthority(START)).isFalse();
  }

  /** Guards against ignoring a voter that was added by a write whose answer was lost. */
  @Test
  void voterOfUnconfirmedChangeMustPromiseToo() {
    acquireRole(ids.next());
    requestPromises(PROMISE, START);
    receivePromise(1, PROMISE, START);
    authority.setPendingVoters(ImmutableSet.of(THIRD));
    assertThat(authority.hasAuthority(START)).isFalse();
  }

  /** Guards against a holder that continues although a voter knows a later term. */
  @Test
  void laterTermEndsAuthorityAtOnce() {
    acquireRole(ids.next());
    requestPromises(PROMISE, START);
    receivePromise(1, PROMISE, START);
    assertThat(authority.hasAuthority(START)).isTrue();
    authority.onPromise(OTHER, new Promise(ROW, 3, 1, Duration.ZERO, 4), START);
    assertThat(authority.hasAuthority(START)).isFalse();
    assertThat(authority.isOutdated()).isTrue();
  }
}
