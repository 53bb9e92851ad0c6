package org.catkinlift.daemon.operator;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.daemon.json.JsonFormat;
import org.catkinlift.daemon.json.ServiceCodec;
import org.catkinlift.daemon.json.StrictJson;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceName;
import org.catkinlift.plans.Intent;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.OperatorRequest;
import org.catkinlift.plans.PlanRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OperatorCodecTest {
  private static final ServiceCodec SERVICES = new ServiceCodec(new JsonFormat.Api());

  private final JsonErrors errors = new JsonErrors();

  private ImmutableList<String> reportedErrors() {
    return errors.list().stream().map(e -> e.path() + " " + e.value()).collect(toImmutableList());
  }

  /** Guards against a request field that is lost or altered between command line and daemon. */
  @Test
  void requestsRoundTrip() {
    var requests = ImmutableList.<OperatorRequest>builder();
    SamplePlans.INTENTS.forEach(i -> requests.add(new OperatorRequest.MakePlan(i)));
    requests.add(
        new OperatorRequest.ConfirmPlan(PlanId.of("p-1")),
        new OperatorRequest.ShowPlan(PlanId.of("p-1")),
        OperatorRequest.ListPlans.newest(),
        new OperatorRequest.ListPlans(1, Optional.of(PlanId.of("p-1"))),
        new OperatorRequest.ShowStatus(),
        new OperatorRequest.ExplainKey(ServiceName.of("order-desk"), "a b/c?&=%é+"));
    for (OperatorRequest request : requests.build()) {
      assertThat(OperatorRequestCodec.decode(OperatorRequestCodec.encode(request)))
          .isEqualTo(new DecodedRequest.Request(request));
    }
  }

  /** Guards against a reply field that is lost or altered between daemon and command line. */
  @Test
  void repliesRoundTrip() {
    var replies = ImmutableList.<OperatorReply>builder();
    for (Intent intent : SamplePlans.INTENTS) {
      for (PlanRecord.State state : PlanRecord.State.values()) {
        replies.add(new OperatorReply.PlanShown(SamplePlans.plan(intent, state)));
      }
    }
    for (OperatorReply.Reason reason : OperatorReply.Reason.values()) {
      replies.add(new OperatorReply.Failed(reason, "detail"));
    }
    var plan = SamplePlans.plan(SamplePlans.INTENTS.get(1), PlanRecord.State.OPEN);
    replies.add(
        new OperatorReply.PlansListed(ImmutableList.of(plan), true),
        new OperatorReply.Facts(ImmutableMap.of("b", "", "a", "2"), ImmutableList.of("d")));
    for (OperatorReply reply : replies.build()) {
      String text = StrictJson.print(OperatorCodec.encode(reply));
      assertThat(OperatorCodec.decodeReply(text, errors)).hasValue(reply);
    }
  }

  /** Guards against intents that are accepted in part or whose errors are not all reported. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "{\"intent\":\"drain-zones\",\"zone\":\"suva\"}|intent \"drain-zones\"",
        "{\"intent\":\"drain-zone\",\"zone\":\"Suva\",\"now\":1}|zone \"Suva\";now (hidden)",
        "{\"intent\":\"drain-zone\"}|zone (missing)",
        "{\"intent\":\"drain-zone\",\"zone\":\"suva\"} x|$ (hidden)",
        "{\"intent\":\"drain-zone\",\"zone\":\"suva\",\"zone\":\"nadi\"}|$ (hidden)",
        "{\"intent\":\"declare-zone-lost\",\"zone\":\"suva\",\"hostsAreOff\":\"yes\"}|hostsAreOff \"yes\"",
        "[]|$ (array)",
        "``|$ (missing)"
      })
  void refusesMalformedIntents(String text, String expected) {
    assertThat(OperatorCodec.decodeIntent(text == null ? "" : text, errors)).isEmpty();
    assertThat(String.join(";", reportedErrors())).isEqualTo(expected);
  }

  /** Guards against service definitions whose parts contradict each other. */
  @Test
  void refusesInconsistentServices() {
    String upstream =
        """
        {"id": "%s", "zone": "%s", "address": "%s", "concurrencyLimit": %d, "connectionLimit": 9}""";
    String text =
        """
        {"name": "s", "kind": {"type": "keyed", "slotCount": 1000,
          "cutOffRule": {"type": "holds"}}, "zones": ["suva"], "upstreams": [%s, %s, %s]}"""
            .formatted(
                upstream.formatted("a", "suva", "127.0.0.1:1", 4),
                upstream.formatted("a", "nadi", "127.0.0.1:1", 4),
                upstream.formatted("c", "suva", "127.0.0.1:2", 0));
    assertThat(OperatorCodec.decode(text, SERVICES.decoder(), errors)).isEmpty();
    assertThat(reportedErrors())
        .containsExactly(
            "kind.slotCount 1000",
            "kind.cutOffRule.type \"holds\"",
            "upstreams[2].concurrencyLimit 0",
            "upstreams \"nadi\"",
            "upstreams \"a\"",
            "upstreams \"127.0.0.1:1\"");
  }

  /** Guards against example services that the codec no longer accepts. */
  @ParameterizedTest
  @CsvSource({
    "tavua/services/order-desk, 30",
    "tavua/services/proof-files, 6",
    "zarqa/services/orders-stock, 30",
    "zarqa/services/archive, 8"
  })
  void readsExampleServices(String name, int upstreams) throws IOException {
    String text = Files.readString(Path.of("../examples", name + ".json"));
    ServiceDefinition service =
        OperatorCodec.decode(text, SERVICES.decoder(), errors).orElseThrow();
    assertThat(service.upstreams()).hasSize(upstreams);
  }
}
