package org.catkinlift.tenants;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.model.TenantName;

/** The tenants of a configuration, by the digests of their API keys. Immutable. */
public final class TenantRegistry {
  /** The registry of a configuration without tenants; no request needs an API key. */
  public static final TenantRegistry NONE =
      new TenantRegistry(false, ImmutableMap.of(), ImmutableList.of());

  private final boolean requiresAuthentication;
  private final ImmutableMap<ApiKeyDigest, Tenant> byKey;
  private final ImmutableList<TenantProblem> problems;

  private TenantRegistry(
      boolean requiresAuthentication,
      ImmutableMap<ApiKeyDigest, Tenant> byKey,
      ImmutableList<TenantProblem> problems) {
    this.requiresAuthentication = requiresAuthentication;
    this.byKey = byKey;
    this.problems = problems;
  }

  /**
   * Returns a new builder of a registry that requires an API key, even if no entry turns out to be
   * valid.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns whether requests need an API key unless their route is public.
   *
   * @return false if the configuration has no tenants
   */
  public boolean requiresAuthentication() {
    return requiresAuthentication;
  }

  /**
   * Finds the tenant of an API key.
   *
   * @param digest the digest of the key
   * @return the tenant, or empty if the key is unknown or ambiguous
   */
  public Optional<Tenant> find(ApiKeyDigest digest) {
    return Optional.ofNullable(byKey.get(digest));
  }

  /**
   * Returns the number of API keys that belong to a tenant.
   *
   * @return the number
   */
  public int keyCount() {
    return byKey.size();
  }

  /**
   * Returns the invalid entries, which were skipped or clamped.
   *
   * @return the entries, in the order of the configuration
   */
  public ImmutableList<TenantProblem> problems() {
    return problems;
  }

  /** Builds a {@link TenantRegistry}; isolates invalid entries. */
  public static final class Builder {
    private final Map<ApiKeyDigest, Tenant> byKey = new HashMap<>();
    private final Set<ApiKeyDigest> ambiguousKeys = new HashSet<>();
    private final Set<TenantName> names = new HashSet<>();
    private final Set<TenantProblem> problems = new LinkedHashSet<>();

    private Builder() {}

    /**
     * Adds a tenant, unless another one has its name. A key that an earlier tenant has too belongs
     * to neither.
     *
     * @param tenant the tenant
     * @param keys the digests of its API keys
     */
    @CanIgnoreReturnValue
    public Builder add(Tenant tenant, Iterable<ApiKeyDigest> keys) {
      if (!names.add(tenant.name())) {
        return addProblem(tenant.name().value(), "another tenant has the name");
      }
      for (ApiKeyDigest key : keys) {
        addKey(tenant, key);
      }
      return this;
    }

    private void addKey(Tenant tenant, ApiKeyDigest key) {
      Tenant other = byKey.putIfAbsent(key, tenant);
      if (other != null && !other.name().equals(tenant.name())) {
        ambiguousKeys.add(key);
        addProblem(other.name().value(), "tenant " + tenant.name() + " has the same API key");
        addProblem(tenant.name().value(), "tenant " + other.name() + " has the same API key");
      }
    }

    /**
     * Adds an invalid entry.
     *
     * @param tenant the name of the tenant, or the position of the entry
     * @param reason what is wrong, without any API key
     */
    @CanIgnoreReturnValue
    public Builder addProblem(String tenant, String reason) {
      problems.add(new TenantProblem(tenant, reason));
      return this;
    }

    /**
     * Returns the registry.
     *
     * @return the registry
     */
    public TenantRegistry build() {
      byKey.keySet().removeAll(ambiguousKeys);
      return new TenantRegistry(true, ImmutableMap.copyOf(byKey), ImmutableList.copyOf(problems));
    }
  }
}
