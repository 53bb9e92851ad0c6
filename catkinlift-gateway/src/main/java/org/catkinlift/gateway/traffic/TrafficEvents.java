package org.catkinlift.gateway.traffic;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.metrics.GatewayMetrics;
import org.catkinlift.gateway.metrics.TenantCounters;
import org.catkinlift.model.TenantName;
import org.catkinlift.tenants.Authentication;
import org.catkinlift.tenants.Tenant;
import org.catkinlift.upstreams.UpstreamRecord;

/**
 * Records what happens to requests and connections in the event log and the metrics. Confined to
 * the traffic thread.
 */
final class TrafficEvents {
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final TenantCounters tenantCounters;
  private boolean configurationUnconfirmed;

  TrafficEvents(EventLog log, GatewayMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
    this.tenantCounters = new TenantCounters(metrics);
  }

  /** Records the end of a request in metrics and the event log. */
  void requestEnded(
      ProxyExchange exchange,
      UpstreamPool pool,
      int status,
      String reason,
      int tries,
      long configurationVersion) {
    long durationNanos = System.nanoTime() - exchange.request().receivedNanos();
    String route = exchange.route() == null ? "none" : exchange.route().name();
    metrics.requestEnded(route, status, durationNanos);
    Optional<TenantName> tenant = exchange.tenant().map(Tenant::name);
    tenantCounters.requestEnded(tenant, status);
    EventCode code =
        switch (status / 100) {
          case 2 -> EventCode.REQUEST_ANSWERED;
          case 0 -> EventCode.REQUEST_CANCELLED;
          case 5 -> status == 503 ? EventCode.REQUEST_REFUSED : EventCode.REQUEST_UNKNOWN;
          default -> EventCode.REQUEST_REFUSED;
        };
    ImmutableMap.Builder<String, Object> fields = ImmutableMap.builder();
    fields.put("request", exchange.request().id()).put("route", route).put("status", status);
    fields.put("took_ms", durationNanos / 1_000_000).put("tries", tries).put("reason", reason);
    tenant.ifPresent(name -> fields.put("tenant", name));
    if (exchange.key() != RequestAcceptance.NO_KEY) {
      fields.put("key", exchange.key());
    }
    if (pool != null) {
      fields.put("upstream", pool.upstream().id()).put("queue", pool.queued());
    }
    fields.put("configuration", configurationVersion);
    log.log(code, fields.buildOrThrow());
  }

  /** Records once that requests of tenants are refused, and that they are served again. */
  void authenticated(Authentication authentication, long contactAgeNanos) {
    switch (authentication) {
      case Authentication.ConfigurationUnconfirmed unconfirmed -> {
        if (!configurationUnconfirmed) {
          configurationUnconfirmed = true;
          log.log(
              EventCode.CONFIGURATION_UNCONFIRMED,
              ImmutableMap.of("contact_age_ms", contactAgeNanos / 1_000_000));
        }
      }
      case Authentication.Authenticated authenticated -> {
        if (configurationUnconfirmed) {
          configurationUnconfirmed = false;
          log.log(EventCode.CONFIGURATION_CONFIRMED, ImmutableMap.of());
        }
      }
      case Authentication.NotRequired notRequired -> {}
      case Authentication.Rejected rejected -> {}
    }
  }

  /** Records that another attempt follows one that reached an upstream in vain. */
  void requestRetried(ProxyExchange exchange, UpstreamRecord upstream, String reason) {
    ImmutableMap.Builder<String, Object> fields = ImmutableMap.builder();
    fields.put("request", exchange.request().id()).put("upstream", upstream.id());
    if (exchange.key() != RequestAcceptance.NO_KEY) {
      fields.put("key", exchange.key());
    }
    log.log(EventCode.REQUEST_RETRIED, fields.put("reason", reason).buildOrThrow());
  }

  void malformedRequest(int status, String reason) {
    metrics.requestEnded("malformed", status, 0);
    log.log(EventCode.REQUEST_REFUSED, ImmutableMap.of("status", status, "reason", reason));
  }

  /** Records that a caller's connection is closed in favour of others. */
  void callerClosed(String reason, long heldBytes, int connections) {
    metrics.increment("callers_closed." + reason);
    log.log(
        EventCode.CALLER_CLOSED,
        ImmutableMap.of("reason", reason, "held_bytes", heldBytes, "connections", connections));
  }

  void upstreamFailed(UpstreamRecord upstream, String phase, String reason) {
    metrics.upstreamFailed(upstream.service(), phase);
    log.log(
        EventCode.UPSTREAM_FAILED,
        ImmutableMap.of("upstream", upstream.id(), "during", phase, "reason", reason));
  }

  void quotaSharesExpired() {
    log.log(EventCode.QUOTA_SHARES_EXPIRED, ImmutableMap.of());
  }

  void unexpectedBytes(UpstreamRecord upstream, String reason, String requestId) {
    metrics.upstreamFailed(upstream.service(), "bytes");
    log.log(
        EventCode.UNEXPECTED_BYTES,
        ImmutableMap.of("upstream", upstream.id(), "reason", reason, "request", requestId));
  }

  void upstreamRefused(ProxyExchange exchange, UpstreamRecord upstream, int status) {
    metrics.upstreamFailed(upstream.service(), "refused-" + status);
    log.log(
        EventCode.UPSTREAM_REFUSED,
        ImmutableMap.of(
            "request", exchange.request().id(), "upstream", upstream.id(), "status", status));
  }

  /** Records that the rate of requests to an upstream is limited for a while. */
  void rampUpStarted(UpstreamRecord upstream, String cause) {
    metrics.increment("upstream_ramp_ups." + upstream.service());
    log.log(EventCode.UPSTREAM_RAMP_UP, ImmutableMap.of("upstream", upstream.id(), "cause", cause));
  }

  void responseMismatched(UpstreamRecord upstream, String receivedId, String expectedId) {
    log.log(
        EventCode.ANSWER_DROPPED,
        ImmutableMap.of("upstream", upstream.id(), "answer_to", receivedId, "request", expectedId));
  }
}
