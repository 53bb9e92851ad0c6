package org.catkinlift.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.math.RoundingMode;

/** Formats measurements as JSON lines. */
final class MeasurementWriter {
  /** Fixed number of decimal places, so that equal seeds produce identical output. */
  private static final int FRACTION_DIGITS = 4;

  private final ObjectMapper mapper = new ObjectMapper();

  /** Returns the measurement as a JSON object on one line, without a line terminator. */
  String toJsonLine(Measurement measurement) {
    ObjectNode node =
        mapper
            .createObjectNode()
            .put("measure", measurement.measure())
            .put("site", measurement.site().label())
            .put("scenario", measurement.scenario())
            .put("seed", measurement.seed())
            .put("value", roundToFixedDigits(measurement.value()))
            .put("unit", measurement.unit())
            .put("bound", roundToFixedDigits(measurement.bound()))
            .put("baseline", roundToFixedDigits(measurement.baseline()))
            .put("baseline_name", measurement.baselineName())
            .put("ok", measurement.ok());
    try {
      return mapper.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to serialize measurement as JSON", e);
    }
  }

  private static BigDecimal roundToFixedDigits(double value) {
    return BigDecimal.valueOf(value).setScale(FRACTION_DIGITS, RoundingMode.HALF_EVEN);
  }
}
