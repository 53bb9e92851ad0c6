package org.catkinlift.daemon.platform;

import static com.google.common.collect.ImmutableSortedSet.toImmutableSortedSet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.function.Supplier;
import org.catkinlift.control.RowValue;
import org.catkinlift.daemon.json.JsonFormat;
import org.catkinlift.daemon.json.PlanCodec;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.CellLoad;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.DispatcherMap;
import org.catkinlift.model.HomeMap;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.Versioned;

/**
 * Converts the values of platform rows to and from JSON.
 *
 * <p>Unknown fields are ignored, so that later versions can add fields. All decoding methods throw
 * a {@link PlatformException} if the JSON is not a valid row.
 */
public final class RowCodec {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String CELL = "cell";
  private static final String PLAN = "plan";
  private static final PlanCodec PLANS = new PlanCodec(new JsonFormat.Row());

  private RowCodec() {}

  /**
   * Encodes the value of a row.
   *
   * @param value the value
   * @return the JSON value, with the field {@code kind}
   */
  public static JsonNode encode(RowValue value) {
    return switch (value) {
      case RowValue.CellRow v -> encodeCell(v);
      case RowValue.HomeRow v -> VersionedCodec.encode(v.homes());
      case RowValue.AssignmentRow v -> VersionedCodec.encode(v.assignment());
      case RowValue.ConfigurationRow v -> VersionedCodec.encode(v.configuration());
      case RowValue.PlanRow v -> PLANS.encode(v.plan()).put("kind", PLAN);
    };
  }

  /**
   * Decodes the value of a row.
   *
   * @param node the JSON value
   * @return the value of the row
   */
  public static RowValue decode(JsonNode node) {
    return decodeChecked(
        () -> {
          String kind = JsonFields.text(node, "kind");
          return switch (kind) {
            case CELL -> decodeCell(node);
            case PLAN -> new RowValue.PlanRow(JsonFields.decode(PLANS.decoder(), node));
            default -> toRow(VersionedCodec.decode(node), kind);
          };
        });
  }

  /**
   * Parses JSON text.
   *
   * @param text the text
   * @return the JSON value
   * @throws PlatformException with code {@code MALFORMED_JSON} if the text is not JSON
   */
  public static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new PlatformException(PlatformException.Code.MALFORMED_JSON, "the text is not JSON", e);
    }
  }

  private static RowValue toRow(Versioned value, String kind) {
    return switch (value) {
      case Configuration v -> new RowValue.ConfigurationRow(v);
      case HomeMap v -> new RowValue.HomeRow(v);
      case Assignment v -> new RowValue.AssignmentRow(v);
      case DispatcherMap v -> throw JsonFields.unknownKind("row", kind);
      case CellLoad v -> throw JsonFields.unknownKind("row", kind);
    };
  }

  private static ObjectNode encodeCell(RowValue.CellRow row) {
    ObjectNode node =
        JsonFields.object()
            .put("kind", CELL)
            .put("holder", row.holder().value())
            .put("term", row.term())
            .put("renewal", row.renewal());
    node.set("voters", JsonFields.names(row.voters()));
    return node;
  }

  private static RowValue.CellRow decodeCell(JsonNode node) {
    return new RowValue.CellRow(
        HostId.of(JsonFields.text(node, "holder")),
        JsonFields.number(node, "term"),
        JsonFields.nameList(node, "voters", HostId::of).stream()
            .collect(toImmutableSortedSet(Comparator.<HostId>naturalOrder())),
        JsonFields.number(node, "renewal"));
  }

  /** Runs a decoder and reports names and numbers that the model rejects as a malformed row. */
  static <T> T decodeChecked(Supplier<T> decode) {
    try {
      return decode.get();
    } catch (ModelException e) {
      throw new PlatformException(
          PlatformException.Code.MALFORMED_ROW, "the row contains an invalid value", e);
    } catch (IllegalArgumentException e) {
      throw new PlatformException(
          PlatformException.Code.MALFORMED_ROW, "the row contains a duplicate name", e);
    }
  }
}
