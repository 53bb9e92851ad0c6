package org.catkinlift.gateway.traffic;

import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.admission.AdmissionPolicy;
import org.catkinlift.admission.Urgency;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.retries.AttemptHistory;
import org.catkinlift.routes.RequestKind;
import org.catkinlift.routes.Route;
import org.catkinlift.tenants.Authentication;
import org.catkinlift.tenants.Tenant;
import org.catkinlift.timer.TimerService;

/**
 * Handles one request of a caller until it is answered or refused. Confined to the traffic thread.
 *
 * <p>Status 503 means that the request was not executed and will not be. It is returned only if no
 * attempt can have been executed by an upstream.
 */
final class ProxyExchange {
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int BAD_GATEWAY = 502;
  private static final int BAD_REQUEST = 400;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int UNAUTHORIZED = 401;
  private static final int MISDIRECTED = 421;
  private static final int SERVER_ERROR_CLASS = 5;

  private static final int MAX_TRIES = 8;

  /**
   * Number of responses by upstreams that do not hold the key after which the request is refused. A
   * new holder gets its grant within this time, unless this daemon misses updates; then the caller
   * reaches another daemon with its next attempt.
   */
  private static final int MAX_MISDIRECTED_TRIES = 3;

  private static final Duration RETRY_DELAY = Duration.ofMillis(25);
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(400);
  private static final Duration RETRY_AFTER_STOPPING = Duration.ofMillis(20);

  /** The maximum time that a request waits while its key is handed over to another upstream. */
  private static final Duration MAX_HANDOVER_WAIT = Duration.ofMillis(700);

  /** The maximum share of the caller's deadline that is spent on that wait. */
  private static final double MAX_HANDOVER_DEADLINE_SHARE = 0.4;

  /**
   * The time past the route's timeout within which a response that has begun may end. Callers are
   * due a final answer half a second after the timeout.
   */
  private static final Duration STREAM_GRACE = Duration.ofMillis(200);

  private final ReverseProxy proxy;
  private final CallerRequest request;
  private final ResponseSlot slot;
  private final ResponseRelay relay;
  private final Set<UpstreamConnection> refusingConnections = new HashSet<>();

  private AttemptHistory attempts = AttemptHistory.NONE;
  private Route route;
  private ServiceName service;
  private int key = RequestAcceptance.NO_KEY;
  private Optional<Tenant> tenant = Optional.empty();

  /** Stays true once a configuration with tenants applied, even if a later one has none. */
  private boolean replacesTenantHeaders;

  private Urgency urgency;
  private State state = State.SELECTING_UPSTREAM;
  private UpstreamPool pool;
  private UpstreamConnection connection;
  private int tries;
  private int misdirectedTries;
  private long sentNanos;
  private long handoverWaitStartNanos;
  private TimerService.Subscription deadlineTimer;
  private String lastFailure = "";

  /** The processing state of the request. */
  private enum State {
    AWAITING_QUOTA,
    SELECTING_UPSTREAM,
    AWAITING_HANDOVER,
    QUEUED,
    CONNECTING,
    SENT,
    ENDED
  }

  ProxyExchange(ReverseProxy proxy, CallerRequest request, ResponseSlot slot) {
    this.proxy = proxy;
    this.request = request;
    this.slot = slot;
    this.relay = new ResponseRelay(proxy, slot, request.id());
  }

  CallerRequest request() {
    return request;
  }

  Urgency urgency() {
    return urgency;
  }

  RequestKind kind() {
    return route.kind();
  }

  Route route() {
    return route;
  }

  ServiceName service() {
    return service;
  }

  int key() {
    return key;
  }

  Optional<Tenant> tenant() {
    return tenant;
  }

  /** Selects the first upstream, or responds to a request that is not accepted. */
  void start(RequestAcceptance acceptance) {
    switch (acceptance) {
      case RequestAcceptance.Refused refused -> {
        tenant = refused.tenant();
        respond(refused.status(), refused.reason(), refused.retryAfter());
      }
      case RequestAcceptance.Accepted accepted -> accepted(accepted);
    }
  }

  private void accepted(RequestAcceptance.Accepted accepted) {
    route = accepted.route();
    service = accepted.service();
    key = accepted.key();
    tenant = accepted.tenant();
    replacesTenantHeaders = proxy.requiresAuthentication();
    long timeout = route.timeout().toNanos();
    long callerDeadline =
        request.deadlineMillis().isPresent()
            ? Duration.ofMillis(request.deadlineMillis().getAsLong()).toNanos()
            : timeout;
    long elapsed = proxy.measurements().elapsedInEarlierAttempts(route, request.deadlineMillis());
    urgency =
        new Urgency(
            proxy.rank(route, tenant),
            request.receivedNanos() + route.targetLatency().toNanos() - elapsed,
            request.receivedNanos() + Math.min(timeout, callerDeadline));
    deadlineTimer = proxy.after(urgency.deadlineNanos() - System.nanoTime(), this::deadlineExpired);
    proxy.requestStarted(this);
    if (accepted.quotaWait().isPresent()) {
      state = State.AWAITING_QUOTA;
      proxy.awaitQuota(this, accepted.quotaWait().get());
    } else {
      selectUpstream();
    }
  }

  /** Continues if a new share of the tenant's quota has room for this request. */
  void quotaSharesChanged() {
    if (state == State.AWAITING_QUOTA && proxy.acquireQuotaAgain(this).isEmpty()) {
      selectUpstream();
    }
  }

  /** Ends the wait for a share of the tenant's quota. */
  void quotaWaitEnded() {
    if (state != State.AWAITING_QUOTA) {
      return;
    }
    Optional<RequestAcceptance.Refused> refusal = proxy.acquireQuotaAgain(this);
    if (refusal.isPresent()) {
      endBecauseOf(refusal.get());
    } else {
      selectUpstream();
    }
  }

  /**
   * Checks the API key again, because the new configuration may have revoked it while the request
   * waits. A request that was sent to an upstream is not affected.
   */
  void configurationApplied() {
    if (state != State.ENDED && state != State.SENT) {
      boolean unused = checkTenant();
    }
  }

  /**
   * Decides again on the tenant, and ends the request if it may not be sent any more.
   *
   * @return whether the request may be sent
   */
  private boolean checkTenant() {
    if (!replacesTenantHeaders && !proxy.requiresAuthentication()) {
      return true;
    }
    replacesTenantHeaders = true;
    switch (proxy.authenticate(request, route)) {
      case Authentication.NotRequired notRequired -> tenant = Optional.empty();
      case Authentication.Authenticated authenticated ->
          tenant = Optional.of(authenticated.tenant());
      case Authentication.Rejected rejected -> {
        endBecauseOf(RequestAcceptor.refusal(rejected));
        return false;
      }
      case Authentication.ConfigurationUnconfirmed unconfirmed -> {
        endBecauseOf(RequestAcceptor.refusal(unconfirmed));
        return false;
      }
    }
    return true;
  }

  /** Ends a request that is not accepted any more. An earlier attempt may have been executed. */
  private void endBecauseOf(RequestAcceptance.Refused refused) {
    cancelAttempt();
    if (attempts.mayHaveBeenExecuted()) {
      respond(BAD_GATEWAY, refused.reason(), Optional.empty());
    } else {
      respond(refused.status(), refused.reason(), refused.retryAfter());
    }
  }

  private void selectUpstream() {
    if (state == State.ENDED || !checkTenant()) {
      return;
    }
    if (!proxy.maySend(this)) {
      endBecauseStopping();
      return;
    }
    state = State.SELECTING_UPSTREAM;
    switch (proxy.selectUpstream(this)) {
      case UpstreamChoice.Selected selected -> {
        pool = selected.pool();
        state = State.QUEUED;
        pool.offer(this);
      }
      case UpstreamChoice.HandoverPending handoverPending -> awaitHandover();
      case UpstreamChoice.Unavailable unavailable ->
          refuse(unavailable.reason(), spreadRetryAfter());
    }
  }

  /**
   * Ends the request because it might outlast the process. Another daemon can take it at once, so
   * that the retry delay is short.
   */
  private void endBecauseStopping() {
    refuse("daemon is stopping", RETRY_AFTER_STOPPING);
  }

  private void awaitHandover() {
    long now = System.nanoTime();
    if (handoverWaitStartNanos == 0) {
      handoverWaitStartNanos = now;
    }
    long waitEndNanos = handoverWaitStartNanos + maxHandoverWaitNanos();
    if (now > waitEndNanos) {
      refuse("keys have no owner", spreadRetryAfter());
      return;
    }
    state = State.AWAITING_HANDOVER;
    proxy.awaitHandover(this, waitEndNanos - now);
  }

  /** The caller must have time to retry, since another daemon may know the new owner. */
  private long maxHandoverWaitNanos() {
    long callerNanos = urgency.deadlineNanos() - request.receivedNanos();
    return Math.min(
        MAX_HANDOVER_WAIT.toNanos(), (long) (callerNanos * MAX_HANDOVER_DEADLINE_SHARE));
  }

  /** Selects an upstream again after a change of key ownership or after the maximum wait. */
  void retryAfterHandover() {
    if (state == State.AWAITING_HANDOVER) {
      selectUpstream();
    }
  }

  /** Returns whether no attempt has been made yet. */
  boolean isFirstTry() {
    return tries == 0;
  }

  boolean isConnecting(UpstreamPool via) {
    return state == State.CONNECTING && pool == via;
  }

  void connecting(UpstreamPool via) {
    pool = via;
    state = State.CONNECTING;
  }

  /**
   * Sends the request on an open connection, unless it has waited for so long that it might outlast
   * the process.
   *
   * @return whether the connection is in use
   */
  boolean connected(UpstreamPool via, UpstreamConnection opened) {
    if (!proxy.maySend(this)) {
      endBecauseStopping();
      return false;
    }
    if (!checkTenant()) {
      return false;
    }
    pool = via;
    connection = opened;
    state = State.SENT;
    sentNanos = System.nanoTime();
    relay.attach(opened);
    tries++;
    attempts = attempts.sent(pool.upstream().id());
    opened.send(this, upstreamHeaders());
    return true;
  }

  private HttpHeaders upstreamHeaders() {
    HeaderNames names = proxy.settings().headers();
    HttpHeaders headers = request.headers().copy();
    long remainingMillis = Duration.ofNanos(urgency.deadlineNanos() - System.nanoTime()).toMillis();
    headers.set(names.deadlineMillis(), Math.max(1, remainingMillis));
    headers.set(names.expectedUpstream(), pool.upstream().id().value());
    if (replacesTenantHeaders) {
      proxy.tenantHeaders().replace(headers, tenant.map(Tenant::name));
    }
    request.body().setFraming(headers);
    return headers;
  }

  /** Handles an attempt of which nothing was sent to the upstream. */
  void notSent(String reason) {
    if (state == State.ENDED) {
      return;
    }
    lastFailure = reason;
    tries++;
    retry(RETRY_DELAY, false);
  }

  /** Handles a rejection by the upstream's admission policy. */
  void rejected(String reason, Duration retryAfter, long waitNanos) {
    lastFailure = reason + " wait_ms=" + Duration.ofNanos(waitNanos).toMillis();
    refuse(lastFailure, retryAfter);
  }

  /** Handles the loss of the connection before the response was complete. */
  void connectionLost(String reason) {
    if (state != State.SENT) {
      return;
    }
    connection = null;
    lastFailure = reason;
    attempts = attempts.outcomeUnknown();
    pool.requestFailed();
    proxy.events().upstreamFailed(pool.upstream(), "answer", reason);
    relay.detach();
    if (relay.isStreaming() && !slot.discardUnsent()) {
      breakOff("broken off", BAD_GATEWAY);
      return;
    }
    relay.discard();
    if (kind().isIdempotent()) {
      retry(Duration.ZERO, true);
    } else {
      respond(BAD_GATEWAY, reason, Optional.empty());
    }
  }

  private void retry(Duration delay, boolean reachedUpstream) {
    boolean attemptsExhausted =
        attempts.possibleExecutors().size() >= route.maxAttempts() || tries >= MAX_TRIES;
    boolean pastDeadline = System.nanoTime() + delay.toNanos() >= urgency.deadlineNanos();
    if (attemptsExhausted
        || pastDeadline
        || !request.body().isSendable()
        || (reachedUpstream && !proxy.tryAcquireRetry(service))) {
      refuse(lastFailure, spreadRetryAfter());
      return;
    }
    if (reachedUpstream) {
      proxy.events().requestRetried(this, pool.upstream(), lastFailure);
    }
    state = State.SELECTING_UPSTREAM;
    if (delay.isZero()) {
      selectUpstream();
    } else {
      proxy.after(delay.toNanos(), this::resumeSelection);
    }
  }

  private void resumeSelection() {
    if (state == State.SELECTING_UPSTREAM) {
      selectUpstream();
    }
  }

  /** Returns a retry delay that fits the caller's deadline and differs between callers. */
  private Duration spreadRetryAfter() {
    long remainingNanos = urgency.deadlineNanos() - System.nanoTime();
    return AdmissionPolicy.retryAfter(
        DEFAULT_RETRY_AFTER.toNanos(), remainingNanos, proxy.random());
  }

  /** Returns the upstreams that may have executed the request. */
  ImmutableSet<UpstreamId> possibleExecutors() {
    return attempts.possibleExecutors();
  }

  /** Returns whether an upstream refused this request on the given connection. */
  boolean wasRefusedOn(UpstreamConnection candidate) {
    return refusingConnections.contains(candidate);
  }

  /** Handles the head of the response. */
  void responseHeadReceived(HttpResponse head) {
    relay.headReceived(head);
  }

  /** Handles part of the response body and takes ownership of the buffer. */
  void responseContentReceived(ByteBuf bytes, boolean last) {
    if (state != State.SENT || !relay.hasHead()) {
      bytes.release();
      return;
    }
    switch (relay.contentReceived(bytes, last)) {
      case INCOMPLETE -> {}
      case TOO_LONG -> connection.rejectBytes("endless refusal or success without signature");
      case BUFFERED -> responseBuffered();
      case STREAMED -> {
        recordOutcome();
        finish("answered", relay.head().status());
        slot.end();
      }
    }
  }

  private void responseBuffered() {
    ResponseHead head = relay.head();
    if (head.isNotExecuted()) {
      requestNotExecuted();
      return;
    }
    if (!head.isForwardable()) {
      connectionLost("success without signature");
      return;
    }
    recordOutcome();
    HttpHeaders headers = head.forwardedHeaders(request.id());
    ByteBuf body = relay.takeBody();
    finish("answered", head.status());
    slot.writeFull(head.status(), headers, body);
  }

  /** Records a complete response of an upstream that executed the request. */
  private void recordOutcome() {
    if (relay.head().status() / 100 == SERVER_ERROR_CLASS) {
      // A failure may come at once and says nothing about the service time.
      pool.requestFailed();
      return;
    }
    pool.requestSucceeded();
    TrafficMeasurements measurements = proxy.measurements();
    measurements.recordResponseBytes(route, relay.receivedBytes());
    if (pool.hasUpstreamQueue() || request.body().isStreamed()) {
      // The time includes the wait in the queue, or for the caller, and says nothing about the
      // service time.
      return;
    }
    long elapsedNanos = System.nanoTime() - sentNanos;
    measurements.recordServiceTime(this, pool.upstream().id(), elapsedNanos);
    pool.responseMeasured(elapsedNanos, measurements.typicalServiceNanos(route));
  }

  private void requestNotExecuted() {
    int status = relay.head().status();
    if (relay.head().isFromOtherUpstream(pool.upstream().id())) {
      pool.addressReassigned();
    }
    relay.discard();
    attempts = attempts.notExecuted();
    refusingConnections.add(connection);
    connection = null;
    lastFailure = "upstream refused with " + status;
    if (status == SERVICE_UNAVAILABLE || status == 429) {
      pool.upstreamFull();
      pool.requestFailed();
    }
    proxy.events().upstreamRefused(this, pool.upstream(), status);
    if (status == BAD_REQUEST) {
      respond(BAD_REQUEST, lastFailure, Optional.empty());
      return;
    }
    if (status == MISDIRECTED && ++misdirectedTries >= MAX_MISDIRECTED_TRIES) {
      refuseMisdirected();
      return;
    }
    // Another upstream of a shared service may have room at once; a key has one holder only.
    retry(key == RequestAcceptance.NO_KEY ? Duration.ZERO : RETRY_DELAY, true);
  }

  /** Refuses a request whose key has moved to a holder that only other daemons know so far. */
  private void refuseMisdirected() {
    long remainingNanos = urgency.deadlineNanos() - System.nanoTime();
    refuse(lastFailure, AdmissionPolicy.retryAfter(0, remainingNanos, proxy.random()));
  }

  /** Ends the request because its deadline has passed. */
  private void deadlineExpired() {
    switch (state) {
      case AWAITING_QUOTA, SELECTING_UPSTREAM, AWAITING_HANDOVER, QUEUED, CONNECTING -> {
        cancelAttempt();
        if (attempts.mayHaveBeenExecuted()) {
          respond(GATEWAY_TIMEOUT, "deadline " + lastFailure, Optional.empty());
        } else {
          refuse("deadline in queue " + lastFailure, spreadRetryAfter());
        }
      }
      case SENT -> {
        if (relay.isStreaming()) {
          limitStream();
        } else {
          cancelAttempt();
          respond(GATEWAY_TIMEOUT, "no answer in time", Optional.empty());
        }
      }
      case ENDED -> {}
    }
  }

  /** Ends a response that has begun, and may have no end, soon after the route's timeout. */
  private void limitStream() {
    long endNanos = request.receivedNanos() + route.timeout().toNanos() + STREAM_GRACE.toNanos();
    deadlineTimer = proxy.after(endNanos - System.nanoTime(), this::streamExpired);
  }

  private void streamExpired() {
    cancelAttempt();
    if (slot.discardUnsent()) {
      respond(GATEWAY_TIMEOUT, "no answer in time", Optional.empty());
    } else {
      breakOff("broken off: no complete answer in time", GATEWAY_TIMEOUT);
    }
  }

  /** Ends a response that has begun; the status is logged only. */
  private void breakOff(String reason, int status) {
    finish(reason, status);
    slot.abort();
  }

  private void cancelAttempt() {
    switch (state) {
      case QUEUED -> {
        boolean unused = pool.removeQueued(this);
      }
      case SENT -> {
        if (connection != null) {
          pool.requestAbandoned(connection);
          connection = null;
        }
      }
      case AWAITING_QUOTA, SELECTING_UPSTREAM, AWAITING_HANDOVER, CONNECTING, ENDED -> {}
    }
    relay.discard();
  }

  /** Returns whether other requests wait for the slot of the upstream that this one occupies. */
  boolean blocksOthers() {
    return state == State.SENT && pool.queued() > 0;
  }

  /** Ends the request because the rest of its body is not accepted. */
  void bodyRejected(int status, String reason) {
    boolean responseBegun = relay.isStreaming();
    cancelAttempt();
    if (responseBegun && !slot.discardUnsent()) {
      breakOff(reason, status);
    } else {
      respond(status, reason, Optional.empty());
    }
  }

  /** Ends the request because the caller does not send the rest of its body. */
  void bodyStalled() {
    if (!attempts.mayHaveBeenExecuted()) {
      bodyRejected(REQUEST_TIMEOUT, "body not received within the time limit");
      return;
    }
    // Status 408 would state that the request was not executed.
    cancelAttempt();
    breakOff("body not received within the time limit", 0);
  }

  /** Ends the request because the caller has closed its connection. */
  void callerDisconnected() {
    if (state == State.ENDED) {
      return;
    }
    cancelAttempt();
    finish("caller left", 0);
  }

  /**
   * Refuses the request, or reports an unknown outcome if an attempt may have been executed.
   *
   * @param retryAfter the delay after which the caller may send a refused request again
   */
  private void refuse(String reason, Duration retryAfter) {
    if (attempts.mayHaveBeenExecuted()) {
      respond(BAD_GATEWAY, reason, Optional.empty());
    } else {
      respond(SERVICE_UNAVAILABLE, reason, Optional.of(retryAfter));
    }
  }

  private void respond(int status, String reason, Optional<Duration> retryAfter) {
    if (state == State.ENDED) {
      return;
    }
    relay.discard();
    finish(reason, status);
    HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
    headers.set(proxy.settings().headers().requestId(), request.id());
    if (status == UNAUTHORIZED) {
      headers.set(HttpHeaderNames.WWW_AUTHENTICATE, proxy.settings().tenants().credentialsScheme());
    }
    retryAfter.ifPresent(
        after ->
            headers.set(
                HttpHeaderNames.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", after.toMillis() / 1_000.0)));
    slot.writeFull(status, headers, ResponseSlot.emptyBody());
  }

  private void finish(String reason, int status) {
    state = State.ENDED;
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    connection = null;
    relay.detach();
    proxy.requestEnded(this, pool, status, reason, tries);
    request.body().release();
  }
}
