package org.catkinlift.daemon.json;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceKind;

/** Converts the kind of a service, with its cut-off rule, to and from JSON. */
final class ServiceKindCodec {
  private static final Duration ONE_SECOND = Duration.ofSeconds(1);
  private static final Duration ONE_DAY = Duration.ofDays(1);
  private static final int MAX_SLOT_COUNT = 1 << 20;

  private final FormatRules rules;

  ServiceKindCodec(FormatRules rules) {
    this.rules = rules;
  }

  /** Returns the decoder of service kinds. */
  JsonDecoder<ServiceKind> decoder() {
    return tagged(ImmutableMap.of("keyed", this::readKeyed, "shared", o -> ServiceKind.shared()));
  }

  private JsonDecoder<CutOffRule> cutOffRule() {
    return tagged(ImmutableMap.of("lapse", o -> CutOffRule.lapse(), "hold", this::readHold));
  }

  private JsonDecoder<GrantChecking> grantChecking() {
    return tagged(
        ImmutableMap.of("checked", o -> GrantChecking.checked(), "unchecked", this::readUnchecked));
  }

  /**
   * Encodes the kind of a service.
   *
   * @param kind the kind
   * @return the JSON object
   */
  ObjectNode encode(ServiceKind kind) {
    return switch (kind) {
      case ServiceKind.Shared s -> variant("shared");
      case ServiceKind.Keyed k -> {
        ObjectNode node = variant("keyed").put("slotCount", k.slotCount());
        node.set("cutOffRule", encode(k.cutOffRule()));
        node.set("grantChecking", encode(k.grantChecking()));
        yield node;
      }
    };
  }

  private ObjectNode encode(CutOffRule rule) {
    return switch (rule) {
      case CutOffRule.Lapse l -> variant("lapse");
      case CutOffRule.Hold h -> {
        ObjectNode node =
            variant("hold").put(rules.millisKey("longPromise"), h.longPromise().toMillis());
        h.isolationLimit()
            .ifPresent(d -> node.put(rules.millisKey("isolationLimit"), d.toMillis()));
        yield node;
      }
    };
  }

  private ObjectNode encode(GrantChecking checking) {
    return switch (checking) {
      case GrantChecking.Checked c -> variant("checked");
      case GrantChecking.Unchecked u ->
          variant("unchecked").put(rules.millisKey("startBound"), u.startBound().toMillis());
    };
  }

  private ServiceKind readKeyed(JsonObjectReader object) {
    return new ServiceKind.Keyed(
        rules
            .optionalInApi(object, "slotCount", rules.powerOfTwo(MAX_SLOT_COUNT))
            .orElse(ServiceKind.DEFAULT_SLOT_COUNT),
        rules.optionalInApi(object, "cutOffRule", cutOffRule()).orElseGet(CutOffRule::hold),
        rules
            .optionalInApi(object, "grantChecking", grantChecking())
            .orElseGet(GrantChecking::checked));
  }

  private CutOffRule readHold(JsonObjectReader object) {
    var millis = rules.millis(ONE_SECOND, ONE_DAY);
    return new CutOffRule.Hold(
        rules
            .optionalInApi(object, rules.millisKey("longPromise"), millis)
            .orElse(CutOffRule.DEFAULT_LONG_PROMISE),
        object.optional(rules.millisKey("isolationLimit"), millis));
  }

  private GrantChecking readUnchecked(JsonObjectReader object) {
    var millis = rules.millis(Duration.ofMillis(1), GrantChecking.DEFAULT_START_BOUND);
    return new GrantChecking.Unchecked(
        rules
            .optionalInApi(object, rules.millisKey("startBound"), millis)
            .orElse(GrantChecking.DEFAULT_START_BOUND));
  }

  private ObjectNode variant(String name) {
    return JsonNodeFactory.instance.objectNode().put(rules.variantKey(), name);
  }

  /** Returns the decoder of a tagged union: one key names the variant, which has its own keys. */
  private <T> JsonDecoder<T> tagged(ImmutableMap<String, Function<JsonObjectReader, T>> readers) {
    return JsonDecoders.object(
        object -> {
          rules.allowUnknownKeys(object);
          Optional<Function<JsonObjectReader, T>> reader =
              object.required(rules.variantKey(), JsonDecoders.choice(readers));
          if (reader.isEmpty()) {
            object.ignoreUnknownKeys();
          }
          return reader.map(r -> r.apply(object));
        });
  }
}
