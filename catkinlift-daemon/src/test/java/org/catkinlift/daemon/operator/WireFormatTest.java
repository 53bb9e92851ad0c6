package org.catkinlift.daemon.operator;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.google.common.io.Resources;
import java.io.IOException;
import org.catkinlift.daemon.json.IntentCodec;
import org.catkinlift.daemon.json.JsonFormat;
import org.catkinlift.daemon.json.PlanCodec;
import org.catkinlift.plans.Intent;
import org.catkinlift.plans.PlanRecord;
import org.junit.jupiter.api.Test;

/**
 * Guards against a change of the JSON that operators' tools and daemons of other versions read. The
 * files were written by the codecs that each front end had of its own.
 */
final class WireFormatTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static JsonNode encoded(JsonFormat format) throws IOException {
    ArrayNode array = MAPPER.createArrayNode();
    var intents = new IntentCodec(format);
    for (Intent intent : SamplePlans.INTENTS) {
      array.add(intents.encode(intent));
    }
    var plan = SamplePlans.plan(SamplePlans.INTENTS.get(2), PlanRecord.State.CONFIRMED);
    array.add(new PlanCodec(format).encode(plan));
    return MAPPER.readTree(array.toString());
  }

  private static JsonNode file(String name) throws IOException {
    return MAPPER.readTree(Resources.getResource(WireFormatTest.class, name));
  }

  @Test
  void operatorApiIsUnchanged() throws IOException {
    assertThat(encoded(new JsonFormat.Api())).isEqualTo(file("api-format.json"));
  }

  @Test
  void platformRowsAreUnchanged() throws IOException {
    assertThat(encoded(new JsonFormat.Row())).isEqualTo(file("row-format.json"));
  }
}
