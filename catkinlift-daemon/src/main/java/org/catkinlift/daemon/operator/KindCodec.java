package org.catkinlift.daemon.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.catkinlift.daemon.json.JsonObjectReader;
import org.catkinlift.daemon.json.JsonValue;
import org.catkinlift.daemon.json.JsonValues;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceKind;

/** Translates the kind of a service, with its cut-off rule, to and from JSON. */
final class KindCodec {
  private static final Duration ONE_SECOND = Duration.ofSeconds(1);
  private static final Duration ONE_DAY = Duration.ofDays(1);
  private static final int MAX_SLOT_COUNT = 1 << 20;

  private static final JsonValue<CutOffRule> CUT_OFF_RULE =
      tagged(ImmutableMap.of("lapse", o -> CutOffRule.lapse(), "hold", KindCodec::readHold));
  private static final JsonValue<GrantChecking> GRANT_CHECKING =
      tagged(
          ImmutableMap.of(
              "checked", o -> GrantChecking.checked(), "unchecked", KindCodec::readUnchecked));

  /** Reads the kind of a service. */
  static final JsonValue<ServiceKind> VALUE =
      tagged(ImmutableMap.of("keyed", KindCodec::readKeyed, "shared", o -> ServiceKind.shared()));

  private KindCodec() {}

  /**
   * Encodes the kind of a service.
   *
   * @param kind the kind
   * @return the JSON object
   */
  static ObjectNode encode(ServiceKind kind) {
    return switch (kind) {
      case ServiceKind.Shared s -> type("shared");
      case ServiceKind.Keyed k -> {
        ObjectNode node = type("keyed").put("slotCount", k.slotCount());
        node.set("cutOffRule", encode(k.cutOffRule()));
        node.set("grantChecking", encode(k.grantChecking()));
        yield node;
      }
    };
  }

  private static ObjectNode encode(CutOffRule rule) {
    return switch (rule) {
      case CutOffRule.Lapse l -> type("lapse");
      case CutOffRule.Hold h -> {
        ObjectNode node = type("hold").put("longPromiseMs", h.longPromise().toMillis());
        h.isolationLimit().ifPresent(d -> node.put("isolationLimitMs", d.toMillis()));
        yield node;
      }
    };
  }

  private static ObjectNode encode(GrantChecking checking) {
    return switch (checking) {
      case GrantChecking.Checked c -> type("checked");
      case GrantChecking.Unchecked u ->
          type("unchecked").put("startBoundMs", u.startBound().toMillis());
    };
  }

  private static ServiceKind readKeyed(JsonObjectReader object) {
    return new ServiceKind.Keyed(
        object
            .optional("slotCount", JsonValues.powerOfTwo(MAX_SLOT_COUNT))
            .orElse(ServiceKind.DEFAULT_SLOT_COUNT),
        object.optional("cutOffRule", CUT_OFF_RULE).orElseGet(CutOffRule::hold),
        object.optional("grantChecking", GRANT_CHECKING).orElseGet(GrantChecking::checked));
  }

  private static CutOffRule readHold(JsonObjectReader object) {
    var millis = JsonValues.millis(ONE_SECOND, ONE_DAY);
    return new CutOffRule.Hold(
        object.optional("longPromiseMs", millis).orElse(CutOffRule.DEFAULT_LONG_PROMISE),
        object.optional("isolationLimitMs", millis));
  }

  private static GrantChecking readUnchecked(JsonObjectReader object) {
    var millis = JsonValues.millis(Duration.ofMillis(1), GrantChecking.DEFAULT_START_BOUND);
    return new GrantChecking.Unchecked(
        object.optional("startBoundMs", millis).orElse(GrantChecking.DEFAULT_START_BOUND));
  }

  private static ObjectNode type(String type) {
    return JsonNodeFactory.instance.objectNode().put("type", type);
  }

  /** Reads an object whose key {@code type} says which other keys it has. */
  private static <T> JsonValue<T> tagged(
      ImmutableMap<String, Function<JsonObjectReader, T>> readers) {
    return JsonValues.object(
        object -> {
          Optional<Function<JsonObjectReader, T>> reader =
              object.required("type", JsonValues.choice(readers));
          if (reader.isEmpty()) {
            object.ignoreRest();
          }
          return reader.map(r -> r.apply(object));
        });
  }
}
