package org.catkinlift.gateway.traffic;

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
import org.catkinlift.ranges.KeyRange;
import org.catkinlift.routes.RequestKind;
import org.catkinlift.routes.Route;
import org.catkinlift.timer.TimerService;

/**
 * Carries one request of a caller to its answer or refusal. Confined to the traffic thread.
 *
 * <p>A refusal with status 503 states that the request was not executed and will not be; it is
 * given only if no attempt can have reached an upstream.
 */
final class RequestFlow {
  private static final int UNAVAILABLE = 503;
  private static final int TIMED_OUT = 504;
  private static final int BAD_GATEWAY = 502;
  static final int NO_KEY = -1;

  private static final int NOT_FOUND = 404;
  private static final int BAD_REQUEST = 400;

  private static final int MOST_TRIES = 8;
  private static final Duration PAUSE_AFTER_REFUSAL = Duration.ofMillis(25);
  private static final Duration RETURN_WITHOUT_OWNER = Duration.ofMillis(400);
  private static final Duration RETURN_ELSEWHERE = Duration.ofMillis(20);
  private static final Duration RETURN_WITHOUT_CONFIGURATION = Duration.ofMillis(300);

  /** How long a request waits for keys that are on their way to another upstream. */
  private static final Duration LONGEST_MOVE = Duration.ofMillis(700);

  private final Traffic traffic;
  private final CallerRequest request;
  private final AnswerSlot slot;
  private final AnswerRelay relay;
  private final Set<UpstreamId> mayHaveRun = new HashSet<>();

  private Route route;
  private ServiceName service;
  private int key = NO_KEY;
  private Urgency urgency;
  private State state = State.PLACING;
  private UpstreamGate gate;
  private UpstreamConnection connection;
  private int tries;
  private long sentNanos;
  private long waitingForMoveSince;
  private TimerService.Subscription expiry;
  private String lastFailure = "";

  /** How far the request has come. */
  private enum State {
    PLACING,
    WAITING_FOR_OWNER,
    QUEUED,
    CONNECTING,
    SENT,
    ENDED
  }

  RequestFlow(Traffic traffic, CallerRequest request, AnswerSlot slot) {
    this.traffic = traffic;
    this.request = request;
    this.slot = slot;
    this.relay = new AnswerRelay(traffic, slot, request.id());
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

  /** Finds the route and the first upstream. */
  void start() {
    TrafficSnapshot snapshot = traffic.snapshot();
    if (!snapshot.configuration().isKnown()) {
      refuse("no configuration", RETURN_WITHOUT_CONFIGURATION);
      return;
    }
    Optional<Route> found = snapshot.routes().find(request.host(), request.path());
    if (found.isEmpty()) {
      end(NOT_FOUND, "no route", Optional.empty());
      return;
    }
    route = found.get();
    service = traffic.pickService(route);
    if (!readKey(snapshot)) {
      end(BAD_REQUEST, "no key", Optional.empty());
      return;
    }
    long timeout = route.timeout().toNanos();
    long deadline =
        request.deadlineMillis().isPresent()
            ? Duration.ofMillis(request.deadlineMillis().getAsLong()).toNanos()
            : timeout;
    long elapsed = traffic.measurements().elapsedBefore(route, request.deadlineMillis());
    urgency =
        new Urgency(
            route.priority(),
            request.receivedNanos() + route.targetLatency().toNanos() - elapsed,
            request.receivedNanos() + Math.min(timeout, deadline));
    expiry = traffic.after(urgency.deadlineNanos() - System.nanoTime(), this::expired);
    traffic.requestSeen(this);
    place();
  }

  /** Refuses the request, because the daemon is about to end; another one can take it at once. */
  void refuseStopping() {
    refuse("daemon is stopping", RETURN_ELSEWHERE);
  }

  private boolean readKey(TrafficSnapshot snapshot) {
    if (!traffic.isKeyed(snapshot, service)) {
      return true;
    }
    String text = request.headers().get(traffic.settings().headers().key());
    try {
      key = text == null ? NO_KEY : Integer.parseInt(text.trim());
    } catch (NumberFormatException e) {
      // Answered as a malformed request.
      key = NO_KEY;
    }
    return key >= 0 && key < KeyRange.KEY_COUNT;
  }

  private void place() {
    if (state == State.ENDED) {
      return;
    }
    state = State.PLACING;
    switch (traffic.choose(this)) {
      case Placement.At at -> {
        gate = at.gate();
        state = State.QUEUED;
        gate.offer(this);
      }
      case Placement.Moving moving -> waitForMove();
      case Placement.Nowhere nowhere -> refuse(nowhere.reason(), RETURN_WITHOUT_OWNER);
    }
  }

  private void waitForMove() {
    long now = System.nanoTime();
    if (waitingForMoveSince == 0) {
      waitingForMoveSince = now;
    }
    if (now - waitingForMoveSince > LONGEST_MOVE.toNanos()) {
      refuse("keys have no owner", RETURN_WITHOUT_OWNER);
      return;
    }
    state = State.WAITING_FOR_OWNER;
    traffic.waitForOwner(this, LONGEST_MOVE.toNanos() - (now - waitingForMoveSince));
  }

  /** Tries again, because the owners of keys have changed or the wait is over. */
  void ownersChanged() {
    if (state == State.WAITING_FOR_OWNER) {
      place();
    }
  }

  /** Tells whether nothing was sent anywhere yet. */
  boolean isFirstTry() {
    return tries == 0;
  }

  boolean isConnecting(UpstreamGate by) {
    return state == State.CONNECTING && gate == by;
  }

  void connecting(UpstreamGate by) {
    gate = by;
    state = State.CONNECTING;
  }

  /** Sends the request on a connection. */
  void connected(UpstreamGate by, UpstreamConnection open) {
    gate = by;
    connection = open;
    state = State.SENT;
    sentNanos = System.nanoTime();
    relay.expect(open);
    tries++;
    mayHaveRun.add(gate.upstream().id());
    open.send(this, upstreamHeaders());
  }

  private HttpHeaders upstreamHeaders() {
    HeaderNames names = traffic.settings().headers();
    HttpHeaders headers = request.headers().copy();
    long left = Duration.ofNanos(urgency.deadlineNanos() - System.nanoTime()).toMillis();
    headers.set(names.deadlineMillis(), Math.max(1, left));
    headers.set(names.expectedUpstream(), gate.upstream().id().value());
    int length = request.body().readableBytes();
    if (length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    return headers;
  }

  /** Takes that the upstream got nothing of the request. */
  void notSent(String reason) {
    if (state == State.ENDED) {
      return;
    }
    lastFailure = reason;
    tries++;
    tryAgain(PAUSE_AFTER_REFUSAL, false);
  }

  /** Takes that the request would wait too long. */
  void rejected(String reason, Duration retryAfter, long waitNanos) {
    lastFailure = reason + " wait_ms=" + Duration.ofNanos(waitNanos).toMillis();
    if (mayHaveRun.isEmpty()) {
      refuse(lastFailure, retryAfter);
    } else {
      end(BAD_GATEWAY, lastFailure, Optional.empty());
    }
  }

  /** Takes that the connection ended before the answer did. */
  void connectionLost(String reason) {
    if (state != State.SENT) {
      return;
    }
    connection = null;
    lastFailure = reason;
    traffic.upstreamFailed(gate.upstream(), "answer", reason);
    relay.detach();
    if (relay.isPassingOn()) {
      finish("broken off", 0);
      slot.abort();
      return;
    }
    relay.discard();
    if (kind().isIdempotent()) {
      tryAgain(Duration.ZERO, true);
    } else {
      end(BAD_GATEWAY, reason, Optional.empty());
    }
  }

  private void tryAgain(Duration pause, boolean arrived) {
    boolean tooMany = mayHaveRun.size() >= route.maxAttempts() || tries >= MOST_TRIES;
    boolean late = System.nanoTime() + pause.toNanos() >= urgency.deadlineNanos();
    if (tooMany || late || (arrived && !traffic.mayRepeat(service))) {
      giveUp();
      return;
    }
    state = State.PLACING;
    if (pause.isZero()) {
      place();
    } else {
      traffic.after(pause.toNanos(), this::placeAgain);
    }
  }

  private void placeAgain() {
    if (state == State.PLACING) {
      place();
    }
  }

  private void giveUp() {
    if (mayHaveRun.isEmpty()) {
      long left = urgency.deadlineNanos() - System.nanoTime();
      refuse(
          lastFailure,
          AdmissionPolicy.retryAfter(RETURN_WITHOUT_OWNER.toNanos(), left, traffic.random()));
    } else {
      end(BAD_GATEWAY, lastFailure, Optional.empty());
    }
  }

  Set<UpstreamId> triedUpstreams() {
    return mayHaveRun;
  }

  /** Takes the head of the answer. */
  void answerBegins(HttpResponse head) {
    relay.begins(head);
  }

  /** Takes part of the answer's body; the bytes are this flow's to release. */
  void answerContinues(ByteBuf bytes, boolean last) {
    if (state != State.SENT || !relay.hasHead()) {
      bytes.release();
      return;
    }
    switch (relay.continues(bytes, last)) {
      case INCOMPLETE -> {}
      case HELD -> answered();
      case PASSED_ON -> {
        measured();
        finish("answered", relay.head().status());
        slot.end();
      }
    }
  }

  private void answered() {
    AnswerHead answer = relay.head();
    measured();
    if (answer.isNotExecuted()) {
      notExecuted();
      return;
    }
    if (!answer.isFinal()) {
      connectionLost("success without signature");
      return;
    }
    HttpHeaders headers = answer.headersFor(request.id());
    ByteBuf body = relay.takeBody();
    finish("answered", answer.status());
    slot.answer(answer.status(), headers, body);
  }

  private void measured() {
    long took = System.nanoTime() - sentNanos;
    traffic.measurements().answered(this, gate.upstream().id(), took, gate.hasQueue());
  }

  private void notExecuted() {
    int status = relay.head().status();
    if (relay.head().isFromOther(gate.upstream().id())) {
      gate.addressTaken();
    }
    relay.discard();
    mayHaveRun.remove(gate.upstream().id());
    connection = null;
    lastFailure = "upstream refused with " + status;
    if (status == UNAVAILABLE || status == 429) {
      gate.full();
    }
    traffic.upstreamRefused(this, gate.upstream(), status);
    if (status == BAD_REQUEST) {
      end(BAD_REQUEST, lastFailure, Optional.empty());
      return;
    }
    tryAgain(PAUSE_AFTER_REFUSAL, true);
  }

  /** Ends the request because its time is over. */
  private void expired() {
    switch (state) {
      case PLACING, WAITING_FOR_OWNER, QUEUED, CONNECTING -> {
        withdraw();
        if (mayHaveRun.isEmpty()) {
          refuse("deadline in queue " + lastFailure, RETURN_WITHOUT_OWNER);
        } else {
          end(TIMED_OUT, "deadline " + lastFailure, Optional.empty());
        }
      }
      case SENT -> {
        if (!relay.isPassingOn()) {
          withdraw();
          end(TIMED_OUT, "no answer in time", Optional.empty());
        }
      }
      case ENDED -> {}
    }
  }

  private void withdraw() {
    switch (state) {
      case QUEUED -> {
        boolean unused = gate.withdraw(this);
      }
      case SENT -> {
        if (connection != null) {
          gate.abandoned(connection);
          connection = null;
        }
      }
      case PLACING, WAITING_FOR_OWNER, CONNECTING, ENDED -> {}
    }
    relay.discard();
  }

  /** Ends the request because its caller has gone. */
  void callerLeft() {
    if (state == State.ENDED) {
      return;
    }
    withdraw();
    finish("caller left", 0);
  }

  private void refuse(String reason, Duration retryAfter) {
    end(UNAVAILABLE, reason, Optional.of(retryAfter));
  }

  private void end(int status, String reason, Optional<Duration> retryAfter) {
    if (state == State.ENDED) {
      return;
    }
    relay.discard();
    finish(reason, status);
    HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
    headers.set(traffic.settings().headers().requestId(), request.id());
    retryAfter.ifPresent(
        after ->
            headers.set(
                HttpHeaderNames.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", after.toMillis() / 1_000.0)));
    slot.answer(status, headers, AnswerSlot.noBody());
  }

  private void finish(String reason, int status) {
    state = State.ENDED;
    if (expiry != null) {
      expiry.cancel();
    }
    connection = null;
    relay.detach();
    traffic.requestEnded(this, gate, status, reason, tries);
    request.body().release();
  }
}
