package org.catkinlift.bench.tenants;

import com.google.common.collect.ImmutableList;
import java.lang.ref.Reference;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import org.catkinlift.admission.TenantUsage;
import org.catkinlift.model.TenantName;
import org.catkinlift.tenants.ApiKeyDigest;
import org.catkinlift.tenants.Authentication;
import org.catkinlift.tenants.Authenticator;
import org.catkinlift.tenants.Credentials;
import org.catkinlift.tenants.StalenessBound;
import org.catkinlift.tenants.Tenant;
import org.catkinlift.tenants.TenantRegistry;

/**
 * Measures the memory of the registry and of the usage meters, the time to build the registry, and
 * the time to authenticate and rank a request, at several numbers of tenants.
 */
public final class TenantRegistrySlopes {
  private static final ImmutableList<Integer> TENANT_COUNTS = ImmutableList.of(86, 1_000, 10_000);
  private static final int KEYS_PER_TENANT = 4;
  private static final int REQUESTS = 400_000;
  private static final double NANOS_PER_MICROSECOND = Duration.ofNanos(1_000).toNanos();
  private static final double NANOS_PER_MILLISECOND = Duration.ofMillis(1).toNanos();
  private static final double BYTES_PER_KILOBYTE = 1_024;

  private TenantRegistrySlopes() {}

  /**
   * Prints one comma-separated line for each number of tenants. The first one warms the code up.
   *
   * @param arguments not used
   */
  public static void main(String[] arguments) {
    System.out.println("tenants,keys,build_ms,registry_kb,meters_kb,request_us");
    measure(TENANT_COUNTS.get(0));
    TENANT_COUNTS.forEach(tenants -> System.out.println(measure(tenants)));
  }

  private static String measure(int tenants) {
    List<byte[]> keys = new ArrayList<>();
    for (int i = 0; i < tenants * KEYS_PER_TENANT; i++) {
      keys.add(("key-of-a-tenant-" + i).getBytes(StandardCharsets.US_ASCII));
    }
    long usedBefore = usedBytes();
    long startNanos = System.nanoTime();
    TenantRegistry registry = build(tenants, keys);
    double buildMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLISECOND;
    long usedByRegistry = usedBytes() - usedBefore;
    var usage = new TenantUsage(0);
    try {
      double requestMicros = measureRequests(registry, usage, keys);
      long usedByMeters = usedBytes() - usedBefore - usedByRegistry;
      return String.format(
          Locale.ROOT,
          "%d,%d,%.1f,%.0f,%.0f,%.2f",
          tenants,
          registry.keyCount(),
          buildMillis,
          usedByRegistry / BYTES_PER_KILOBYTE,
          usedByMeters / BYTES_PER_KILOBYTE,
          requestMicros);
    } finally {
      Reference.reachabilityFence(usage);
    }
  }

  private static TenantRegistry build(int tenants, List<byte[]> keys) {
    TenantRegistry.Builder builder = TenantRegistry.builder();
    for (int i = 0; i < tenants; i++) {
      List<ApiKeyDigest> digests = new ArrayList<>();
      for (byte[] key : keys.subList(i * KEYS_PER_TENANT, (i + 1) * KEYS_PER_TENANT)) {
        digests.add(ApiKeyDigest.of(key).orElseThrow());
      }
      builder.add(
          new Tenant(TenantName.of("t-" + i), OptionalInt.empty(), Optional.empty()), digests);
    }
    return builder.build();
  }

  private static double measureRequests(
      TenantRegistry registry, TenantUsage usage, List<byte[]> keys) {
    var authenticator = new Authenticator(new StalenessBound.FailOpen());
    long startNanos = System.nanoTime();
    for (int i = 0; i < REQUESTS; i++) {
      var credentials =
          new Credentials.ApiKey(ApiKeyDigest.of(keys.get(i % keys.size())).orElseThrow());
      switch (authenticator.authenticate(registry, false, credentials, 0)) {
        case Authentication.Authenticated authenticated -> {
          boolean unused = usage.isAboveUsualRate(authenticated.tenant().name(), i * 1_000L);
        }
        case Authentication.NotRequired notRequired -> throw new AssertionError("no tenants");
        case Authentication.Rejected rejected -> throw new AssertionError("unknown key");
        case Authentication.ConfigurationUnconfirmed unconfirmed ->
            throw new AssertionError("fails open");
      }
    }
    return (System.nanoTime() - startNanos) / NANOS_PER_MICROSECOND / REQUESTS;
  }

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
