package org.catkinlift.gateway.traffic;

import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.ServiceName;
import org.catkinlift.routes.Route;
import org.catkinlift.tenants.Tenant;

/** The decision whether a request is accepted, made from its head alone. */
sealed interface RequestAcceptance {
  /** The key of a request to a service that is not keyed. */
  int NO_KEY = -1;

  /**
   * The request is accepted.
   *
   * @param route the route
   * @param service the service that executes the request
   * @param key the key, or {@link #NO_KEY}
   * @param tenant the tenant whose API key the request carries; empty if none is required
   * @param quotaWait how long the request must wait for a share of the tenant's quota at most;
   *     empty if it is within the quota
   */
  record Accepted(
      Route route,
      ServiceName service,
      int key,
      Optional<Tenant> tenant,
      Optional<Duration> quotaWait)
      implements RequestAcceptance {

    /** Returns this acceptance of a request that must wait for a share of its tenant's quota. */
    Accepted withQuotaWait(Duration maxWait) {
      return new Accepted(route, service, key, tenant, Optional.of(maxWait));
    }
  }

  /**
   * The request is refused and has not been executed.
   *
   * @param status the status code of the response
   * @param reason the reason, for the event log
   * @param retryAfter the delay after which the caller may send the request again, if that helps
   * @param tenant the tenant whose API key the request carries, if that is known
   */
  record Refused(int status, String reason, Optional<Duration> retryAfter, Optional<Tenant> tenant)
      implements RequestAcceptance {

    /** Creates the refusal of a request whose tenant is not known. */
    Refused(int status, String reason, Optional<Duration> retryAfter) {
      this(status, reason, retryAfter, Optional.empty());
    }
  }
}
