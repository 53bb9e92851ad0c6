package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.http.CallResult;
import org.catkinlift.gateway.http.HttpCall;
import org.catkinlift.gateway.http.TextHttpClient;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.peer.CoordinatorReply;
import org.catkinlift.gateway.peer.LoadReport;
import org.catkinlift.gateway.peer.PeerCodec;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.model.HostId;
import org.catkinlift.model.TenantName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.quotas.QuotaShares;
import org.catkinlift.ranges.CoordinatorLease;
import org.catkinlift.ranges.LeaseRow;
import org.catkinlift.shares.ShareReport;

/**
 * Reports this daemon's traffic to the coordinator and applies its replies, which confirm the role
 * and relay updates of the store. Confined to the control thread.
 */
final class LoadReporter {
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);

  /** How many times the CPU capacity of this host a host must have to count as stronger. */
  private static final double STRONGER_HOST_RATIO = 1.5;

  /** The daemon count assumed until the first reply of the coordinator. */
  private static final int INITIAL_DAEMON_COUNT = 12;

  private final HostId self;
  private final double cpuCapacity;
  private final MetadataStore store;
  private final TextHttpClient peerClient;
  private final CoordinatorLease lease;
  private final Runnable daemonCountListener;
  private final Consumer<CoordinatorReply> replyListener;
  private final Consumer<AdmissionShares> sharesListener;
  private final Consumer<QuotaShares> quotaSharesListener;
  private final EventLog log;

  private LoadReport pendingReport;
  private ShareReport<TenantName> pendingQuotas = ShareReport.empty();

  /** What the report in flight states about quotas; stated again if it is not answered. */
  private ShareReport<TenantName> sentQuotas = ShareReport.empty();

  private long sentNanos;
  private int daemonCount = INITIAL_DAEMON_COUNT;
  private boolean callInFlight;

  /** Whether the last shares that were passed on admit all requests; these need no renewal. */
  private boolean admitsAll;

  LoadReporter(
      HostId self,
      double cpuCapacity,
      MetadataStore store,
      TextHttpClient peerClient,
      CoordinatorLease lease,
      Runnable daemonCountListener,
      Consumer<CoordinatorReply> replyListener,
      Consumer<AdmissionShares> sharesListener,
      Consumer<QuotaShares> quotaSharesListener,
      EventLog log) {
    this.self = self;
    this.cpuCapacity = cpuCapacity;
    this.store = store;
    this.peerClient = peerClient;
    this.lease = lease;
    this.daemonCountListener = daemonCountListener;
    this.replyListener = replyListener;
    this.sharesListener = sharesListener;
    this.quotaSharesListener = quotaSharesListener;
    this.log = log;
    this.pendingReport = emptyReport();
  }

  private LoadReport emptyReport() {
    return new LoadReport(
        self, cpuCapacity, store.observedVersions(), ImmutableList.of(), ImmutableMap.of());
  }

  /** Adds the traffic measured since the last call to the pending report. */
  void trafficMeasured(
      ImmutableList<LoadReport.KeyWork> keyWork,
      ImmutableMap<UpstreamId, LoadReport.WorkTimes> workTimes) {
    pendingReport = pendingReport.withTraffic(store.observedVersions(), keyWork, workTimes);
  }

  /** Replaces the state of the shares of quotas and adds demand to the pending report. */
  void quotasMeasured(ShareReport<TenantName> quotas) {
    pendingQuotas = pendingQuotas.followedBy(quotas);
  }

  /** Returns what the pending report states about quotas, and removes the demand from it. */
  ShareReport<TenantName> takeQuotas() {
    ShareReport<TenantName> quotas = pendingQuotas;
    pendingQuotas = quotas.withoutDemand();
    return quotas;
  }

  /** Returns the pending report and starts a new one. */
  LoadReport takeReport() {
    LoadReport report =
        pendingReport.withTraffic(store.observedVersions(), ImmutableList.of(), ImmutableMap.of());
    pendingReport = emptyReport();
    return report;
  }

  int daemonCount() {
    return daemonCount;
  }

  /** Sets the number of daemons that this daemon counted as coordinator. */
  void setDaemonCount(int count) {
    daemonCount = count;
  }

  /** Sends a report to the holder of the role; drops it while a call is in flight. */
  void send(LoadReport report) {
    Optional<LeaseRow> holder = lease.row();
    if (callInFlight || holder.isEmpty() || holder.get().holder().equals(self)) {
      return;
    }
    callInFlight = true;
    sentQuotas = takeQuotas();
    sentNanos = System.nanoTime();
    peerClient.call(
        HttpCall.to(holder.get().peerAddress())
            .request("POST", PeerCodec.REPORT_PATH)
            .body(PeerCodec.encode(report.withQuotas(sentQuotas)))
            .timeout(REPORT_TIMEOUT)
            .maxResponseBytes(HttpCall.MAX_RESPONSE_BYTES)
            .build(),
        this::callEnded);
  }

  /** Returns whether a host is strong enough to hold the role instead of this one. */
  boolean isStronger(double otherCpuCapacity) {
    return otherCpuCapacity >= cpuCapacity * STRONGER_HOST_RATIO;
  }

  private void callEnded(CallResult result) {
    callInFlight = false;
    switch (result) {
      case CallResult.Answered answered when answered.isSuccess() -> replyReceived(answered.body());
      case CallResult.Answered refused -> coordinatorUnavailable();
      case CallResult.NotSent notSent -> coordinatorUnavailable();
      case CallResult.Unanswered unanswered -> coordinatorUnavailable();
    }
  }

  private void replyReceived(String body) {
    CoordinatorReply reply;
    try {
      reply = PeerCodec.decodeReply(body);
    } catch (RuntimeException e) {
      // The message may quote a row with API keys, so only the type of the error is logged.
      log.log(EventCode.PEER_MESSAGE_SKIPPED, ImmutableMap.of("reason", e.getClass().getName()));
      coordinatorUnavailable();
      return;
    }
    applyReply(reply);
  }

  /** Makes this daemon poll the store itself, because no coordinator relays updates. */
  private void coordinatorUnavailable() {
    pendingQuotas = sentQuotas.followedBy(pendingQuotas);
    sentQuotas = ShareReport.empty();
    lease.holderUnconfirmed();
    store.setPollingEnabled(true);
  }

  private void applyReply(CoordinatorReply reply) {
    if (!reply.isCoordinator()) {
      store.peerVersionsReceived(reply.observedVersions());
      coordinatorUnavailable();
      return;
    }
    store.peerVersionsReceived(reply.observedVersions());
    if (reply.observedVersions().era() != store.era()) {
      // The role of an earlier era ended when the store was restored.
      coordinatorUnavailable();
      return;
    }
    sentQuotas = ShareReport.empty();
    if (!reply.quotaShares().isNone()) {
      quotaSharesListener.accept(new QuotaShares(reply.quotaShares(), sentNanos));
    }
    replyListener.accept(reply);
    store.setPollingEnabled(!reply.relaysUpdates());
    lease.holderVersionReceived(reply.host(), reply.leaseVersion(), HostClock.now());
    lease.setStrongerHostKnown(isStronger(reply.maxCpuCapacity()));
    if (!reply.shares().equals(AdmissionShares.ADMIT_ALL) || !admitsAll) {
      admitsAll = reply.shares().equals(AdmissionShares.ADMIT_ALL);
      sharesListener.accept(reply.shares());
    }
    if (daemonCount != reply.daemonCount()) {
      daemonCount = reply.daemonCount();
      daemonCountListener.run();
    }
  }
}
