package org.catkinlift.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.catkinlift.gateway.settings.GatewaySettings.TenantSettings;
import org.catkinlift.model.TenantName;
import org.catkinlift.tenants.ApiKeyDigest;
import org.catkinlift.tenants.Credentials;

/** Reads the credentials of requests, and sets the headers about tenants that upstreams receive. */
final class TenantHeaders {
  private final TenantSettings settings;

  TenantHeaders(TenantSettings settings) {
    this.settings = settings;
  }

  /** Returns the credentials that a request carries: a scheme and an API key. */
  Credentials credentials(HttpHeaders headers) {
    List<String> values = headers.getAll(settings.credentialsHeader());
    if (values.isEmpty()) {
      return new Credentials.Missing();
    }
    return values.size() == 1 ? parse(values.get(0).trim()) : new Credentials.Malformed();
  }

  private Credentials parse(String value) {
    int space = value.indexOf(' ');
    if (space < 0 || !value.substring(0, space).equalsIgnoreCase(settings.credentialsScheme())) {
      return new Credentials.Malformed();
    }
    // Header values are decoded as ISO 8859-1, so this restores the bytes that were received.
    byte[] key = value.substring(space).trim().getBytes(StandardCharsets.ISO_8859_1);
    return ApiKeyDigest.of(key)
        .<Credentials>map(Credentials.ApiKey::new)
        .orElseGet(Credentials.Malformed::new);
  }

  /**
   * Removes the credentials and all copies of the tenant header, and sets the latter.
   *
   * @param headers the headers to send to the upstream
   * @param tenant the tenant; empty on a public route
   */
  void replace(HttpHeaders headers, Optional<TenantName> tenant) {
    for (String name : List.copyOf(headers.names())) {
      String normalized = normalize(name);
      if (normalized.equals(normalize(settings.credentialsHeader()))
          || normalized.equals(normalize(settings.tenantHeader()))) {
        headers.remove(name);
      }
    }
    tenant.ifPresent(name -> headers.set(settings.tenantHeader(), name.value()));
  }

  /** Some upstreams do not distinguish underscores from hyphens in header names. */
  private static String normalize(String name) {
    return name.toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
