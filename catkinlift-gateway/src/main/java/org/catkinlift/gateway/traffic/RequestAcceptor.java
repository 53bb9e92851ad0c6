package org.catkinlift.gateway.traffic;

import java.time.Duration;
import java.util.Optional;
import org.catkinlift.admission.RequestRank;
import org.catkinlift.admission.TenantUsage;
import org.catkinlift.gateway.settings.GatewaySettings;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.model.ServiceName;
import org.catkinlift.quotas.QuotaDecision;
import org.catkinlift.quotas.QuotaLimiter;
import org.catkinlift.ranges.KeyRange;
import org.catkinlift.routes.Route;
import org.catkinlift.routes.WeightedTargetSelector;
import org.catkinlift.tenants.Authentication;
import org.catkinlift.tenants.Authenticator;
import org.catkinlift.tenants.Tenant;
import org.catkinlift.tenants.TenantRegistry;

/**
 * Decides from the head of a request whether it is accepted: finds its route, its tenant, its
 * service and its key. Confined to the traffic thread.
 */
final class RequestAcceptor {
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Another daemon may have a confirmed configuration. */
  private static final Duration CONFIGURATION_RETRY_AFTER = Duration.ofMillis(300);

  private final HeaderNames headers;
  private final Authenticator authenticator;
  private final ContactTime contactTime;
  private final QuotaLimiter quotas;
  private final TrafficEvents events;
  private final TenantUsage usage = new TenantUsage(System.nanoTime());
  private final WeightedTargetSelector targetSelector = new WeightedTargetSelector();

  RequestAcceptor(
      GatewaySettings settings,
      ContactTime contactTime,
      QuotaLimiter quotas,
      TrafficEvents events) {
    this.headers = settings.headers();
    this.authenticator = new Authenticator(settings.tenants().stalenessBound());
    this.contactTime = contactTime;
    this.quotas = quotas;
    this.events = events;
  }

  /** Decides about a request. */
  RequestAcceptance accept(TrafficSnapshot snapshot, CallerRequest request, long nowNanos) {
    if (!snapshot.configuration().isKnown()) {
      return new RequestAcceptance.Refused(
          SERVICE_UNAVAILABLE, "no configuration", Optional.of(CONFIGURATION_RETRY_AFTER));
    }
    Optional<Route> found = snapshot.routes().find(request.host(), request.path());
    if (found.isEmpty()) {
      return new RequestAcceptance.Refused(NOT_FOUND, "no route", Optional.empty());
    }
    Route route = found.get();
    return switch (authenticate(snapshot, request, route, nowNanos)) {
      case Authentication.NotRequired notRequired ->
          accept(snapshot, request, route, Optional.empty());
      case Authentication.Authenticated authenticated ->
          acceptWithinQuota(snapshot, request, route, authenticated.tenant(), nowNanos);
      case Authentication.Rejected rejected -> refusal(rejected);
      case Authentication.ConfigurationUnconfirmed unconfirmed -> refusal(unconfirmed);
    };
  }

  /**
   * Decides on the tenant of a request by the configuration in force.
   *
   * @param route the route by which the request was accepted; a newer configuration may have
   *     another one for it
   */
  Authentication authenticate(
      TrafficSnapshot snapshot, CallerRequest request, Route route, long nowNanos) {
    TenantRegistry tenants = snapshot.configuration().tenants();
    if (!tenants.requiresAuthentication()) {
      return new Authentication.NotRequired();
    }
    boolean isPublic =
        snapshot.routes().find(request.host(), request.path()).orElse(route).isPublic();
    long contactAgeNanos = contactTime.ageNanos(nowNanos);
    Authentication authentication =
        authenticator.authenticate(tenants, isPublic, request.credentials().get(), contactAgeNanos);
    events.authenticated(authentication, contactAgeNanos);
    return authentication;
  }

  static RequestAcceptance.Refused refusal(Authentication.Rejected rejected) {
    return new RequestAcceptance.Refused(UNAUTHORIZED, rejected.reason().text(), Optional.empty());
  }

  static RequestAcceptance.Refused refusal(Authentication.ConfigurationUnconfirmed unconfirmed) {
    return new RequestAcceptance.Refused(
        SERVICE_UNAVAILABLE, "configuration unconfirmed", Optional.of(CONFIGURATION_RETRY_AFTER));
  }

  /** Returns the rank of an accepted request, and counts it as usage of its tenant. */
  RequestRank rank(Route route, Optional<Tenant> tenant, long nowNanos) {
    return tenant
        .map(
            t ->
                new RequestRank(
                    t.priority().orElse(route.priority()),
                    usage.isAboveUsualRate(t.name(), nowNanos),
                    route.priority()))
        .orElseGet(() -> RequestRank.ofRoute(route.priority()));
  }

  private RequestAcceptance acceptWithinQuota(
      TrafficSnapshot snapshot, CallerRequest request, Route route, Tenant tenant, long nowNanos) {
    RequestAcceptance acceptance = accept(snapshot, request, route, Optional.of(tenant));
    return switch (acceptance) {
      // A request that is refused anyway takes nothing from the quota.
      case RequestAcceptance.Refused refused -> refused;
      case RequestAcceptance.Accepted accepted ->
          switch (quotas.acquire(tenant, nowNanos)) {
            case QuotaDecision.Granted granted -> accepted;
            case QuotaDecision.Pending pending -> accepted.withQuotaWait(pending.maxWait());
            case QuotaDecision.Exceeded exceeded -> refusal(exceeded, tenant);
          };
    };
  }

  static RequestAcceptance.Refused refusal(QuotaDecision.Exceeded exceeded, Tenant tenant) {
    return new RequestAcceptance.Refused(
        TOO_MANY_REQUESTS,
        "quota exceeded",
        Optional.of(exceeded.retryAfter()),
        Optional.of(tenant));
  }

  /**
   * Decides about a request that has waited for a share of its tenant's quota; empty if granted.
   */
  Optional<RequestAcceptance.Refused> afterQuotaWait(Tenant tenant, long nowNanos) {
    return switch (quotas.acquireAgain(tenant, nowNanos)) {
      case QuotaDecision.Granted granted -> Optional.empty();
      case QuotaDecision.Pending pending ->
          throw new IllegalStateException("a request waits for a share once only");
      case QuotaDecision.Exceeded exceeded -> Optional.of(refusal(exceeded, tenant));
    };
  }

  private RequestAcceptance accept(
      TrafficSnapshot snapshot, CallerRequest request, Route route, Optional<Tenant> tenant) {
    ServiceName service = targetSelector.next(route);
    int key = RequestAcceptance.NO_KEY;
    if (snapshot.isKeyed(service)) {
      key = parseKey(request);
      if (key < 0 || key >= KeyRange.KEY_COUNT) {
        return new RequestAcceptance.Refused(BAD_REQUEST, "no key", Optional.empty());
      }
    }
    return new RequestAcceptance.Accepted(route, service, key, tenant, Optional.empty());
  }

  private int parseKey(CallerRequest request) {
    String text = request.headers().get(headers.key());
    try {
      return text == null ? RequestAcceptance.NO_KEY : Integer.parseInt(text.trim());
    } catch (NumberFormatException e) {
      // Rejected with status 400, like a missing key.
      return RequestAcceptance.NO_KEY;
    }
  }
}
