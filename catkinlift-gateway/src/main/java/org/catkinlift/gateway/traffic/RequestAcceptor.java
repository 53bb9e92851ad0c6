package org.catkinlift.gateway.traffic;

import java.time.Duration;
import java.util.Optional;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.model.ServiceName;
import org.catkinlift.quotas.QuotaDecision;
import org.catkinlift.quotas.QuotaLimiter;
import org.catkinlift.ranges.KeyRange;
import org.catkinlift.routes.Route;
import org.catkinlift.routes.WeightedTargetSelector;
import org.catkinlift.tenants.Tenant;

/**
 * Decides from the head of a request whether it is accepted: finds its route, its tenant, its
 * service and its key. Confined to the traffic thread.
 */
final class RequestAcceptor {
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private static final Duration RETRY_AFTER_NO_CONFIGURATION = Duration.ofMillis(300);

  private final HeaderNames headers;
  private final QuotaLimiter quotas;
  private final WeightedTargetSelector targetSelector = new WeightedTargetSelector();

  RequestAcceptor(HeaderNames headers, QuotaLimiter quotas) {
    this.headers = headers;
    this.quotas = quotas;
  }

  /** Decides about a request. */
  RequestAcceptance accept(TrafficSnapshot snapshot, CallerRequest request, long nowNanos) {
    if (!snapshot.configuration().isKnown()) {
      return new RequestAcceptance.Refused(
          SERVICE_UNAVAILABLE, "no configuration", Optional.of(RETRY_AFTER_NO_CONFIGURATION));
    }
    Optional<Route> found = snapshot.routes().find(request.host(), request.path());
    if (found.isEmpty()) {
      return new RequestAcceptance.Refused(NOT_FOUND, "no route", Optional.empty());
    }
    Route route = found.get();
    ServiceName service = targetSelector.next(route);
    int key = RequestAcceptance.NO_KEY;
    if (snapshot.isKeyed(service)) {
      key = parseKey(request);
      if (key < 0 || key >= KeyRange.KEY_COUNT) {
        return new RequestAcceptance.Refused(BAD_REQUEST, "no key", Optional.empty());
      }
    }
    Optional<Tenant> tenant = Optional.empty();
    if (tenant.isPresent()) {
      switch (quotas.acquire(tenant.get(), nowNanos)) {
        case QuotaDecision.Granted granted -> {}
        case QuotaDecision.Exceeded exceeded -> {
          return new RequestAcceptance.Refused(
              TOO_MANY_REQUESTS, "quota exceeded", Optional.of(exceeded.retryAfter()));
        }
      }
    }
    return new RequestAcceptance.Accepted(route, service, key, tenant);
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
