package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.gateway.http.CallResult;
import org.catkinlift.gateway.http.HttpCall;
import org.catkinlift.gateway.http.TextHttpClient;
import org.catkinlift.gateway.peer.CoordinatorReply;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.gateway.peer.PeerCodec;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.ranges.CoordinatorLease;
import org.catkinlift.ranges.LeaseRow;

/**
 * Reports this daemon's traffic to the coordinator and takes its replies as news of the role and of
 * the number of daemons. Confined to the control thread.
 */
final class PeerReports {
  private static final Duration TIMEOUT = Duration.ofMillis(400);

  private static final double STRONGER_BY = 1.5;

  /** Assumed before the coordinator has said how many daemons there are. */
  private static final int DAEMONS_AT_FIRST = 12;

  private final HostId self;
  private final double processor;
  private final MetadataStore store;
  private final TextHttpClient peers;
  private final CoordinatorLease lease;
  private final Runnable daemonsChanged;
  private final Consumer<CoordinatorReply> newsPassedOn;
  private final Consumer<AdmissionShares> sharesLearned;

  private LoadReport next;
  private int daemons = DAEMONS_AT_FIRST;
  private boolean running;

  PeerReports(
      HostId self,
      double processor,
      MetadataStore store,
      TextHttpClient peers,
      CoordinatorLease lease,
      Runnable daemonsChanged,
      Consumer<CoordinatorReply> newsPassedOn,
      Consumer<AdmissionShares> sharesLearned) {
    this.self = self;
    this.processor = processor;
    this.store = store;
    this.peers = peers;
    this.lease = lease;
    this.daemonsChanged = daemonsChanged;
    this.newsPassedOn = newsPassedOn;
    this.sharesLearned = sharesLearned;
    this.next = empty();
  }

  private LoadReport empty() {
    return new LoadReport(
        self, processor, store.newsVersions(), ImmutableList.of(), ImmutableMap.of());
  }

  /** Adds the traffic since the last call to the report that is due next. */
  void trafficSeen(
      ImmutableList<LoadReport.KeyWork> work,
      ImmutableMap<UpstreamId, LoadReport.WorkTimes> speeds) {
    next = next.withTraffic(store.newsVersions(), work, speeds);
  }

  /** Returns the report that is due and begins another one. */
  LoadReport take() {
    LoadReport report = next;
    next = empty();
    return report;
  }

  int daemons() {
    return daemons;
  }

  /** Takes the number of daemons that this daemon counted as coordinator. */
  void counted(int number) {
    daemons = number;
  }

  /** Sends a report to the holder of the role. */
  void send(LoadReport report) {
    Optional<LeaseRow> holder = lease.row();
    if (running || holder.isEmpty() || holder.get().holder().equals(self)) {
      return;
    }
    running = true;
    peers.call(
        HttpCall.to(holder.get().peerAddress())
            .request("POST", PeerCodec.REPORT_PATH)
            .body(PeerCodec.encode(report))
            .timeout(TIMEOUT)
            .build(),
        this::answered);
  }

  /** Tells whether a host is so much stronger that it should have the role instead. */
  boolean isStronger(double otherProcessor) {
    return otherProcessor >= processor * STRONGER_BY;
  }

  private void answered(CallResult result) {
    running = false;
    switch (result) {
      case CallResult.Answered answered when answered.isSuccess() ->
          replied(PeerCodec.decodeReply(answered.body()));
      case CallResult.Answered refused -> noCoordinator();
      case CallResult.NotSent notSent -> noCoordinator();
      case CallResult.Unanswered unanswered -> noCoordinator();
    }
  }

  /** Without a coordinator each daemon asks the store itself. */
  private void noCoordinator() {
    lease.holderUnconfirmed();
    store.askForNews(true);
  }

  private void replied(CoordinatorReply reply) {
    if (!reply.hasRole()) {
      store.peerHasSeen(reply.news());
      noCoordinator();
      return;
    }
    newsPassedOn.accept(reply);
    store.peerHasSeen(reply.news());
    store.askForNews(!reply.passesNewsOn());
    lease.holderVersionReceived(reply.host(), reply.leaseVersion(), HostClock.now());
    lease.setStrongerHostKnown(isStronger(reply.strongestProcessor()));
    sharesLearned.accept(reply.shares());
    if (daemons != reply.daemons()) {
      daemons = reply.daemons();
      daemonsChanged.run();
    }
  }
}
