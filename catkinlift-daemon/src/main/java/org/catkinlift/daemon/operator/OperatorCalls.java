package org.catkinlift.daemon.operator;

import com.google.common.base.Splitter;
import com.google.common.primitives.Ints;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.catkinlift.daemon.json.IntentCodec;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.daemon.json.JsonFormat;
import org.catkinlift.daemon.json.JsonObjectReader;
import org.catkinlift.daemon.json.JsonValue;
import org.catkinlift.daemon.json.JsonValues;
import org.catkinlift.daemon.json.StrictJson;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.plans.OperatorRequest;

/** Translates operators' requests to and from HTTP; the server and the command line share it. */
public final class OperatorCalls {
  private static final String GET = "GET";
  private static final String POST = "POST";
  private static final String PLANS = "/v1/plans";
  private static final String STATUS = "/v1/status";
  private static final String EXPLAIN = "/v1/explain";
  private static final String METRICS = "/metrics";
  private static final String CONFIRM = "confirm";
  private static final String NAME_RULE = "1 to 64 lower-case letters, digits, dots or hyphens";
  private static final IntentCodec INTENT = new IntentCodec(new JsonFormat.Api());
  private static final JsonValue<Integer> LIMIT =
      JsonValues.parsed(
          "integer from 1 to " + OperatorRequest.ListPlans.MAX_LIMIT, OperatorCalls::limitOf);
  private static final JsonValue<PlanId> PLAN = JsonValues.name(PlanId::of);
  private static final JsonValue<String> ANY_TEXT = JsonValues.parsed("string", Optional::of);

  private OperatorCalls() {}

  /**
   * Encodes a request.
   *
   * @param request the request
   * @return the HTTP request
   */
  public static OperatorCall encode(OperatorRequest request) {
    return switch (request) {
      case OperatorRequest.MakePlan r ->
          new OperatorCall(POST, PLANS, StrictJson.print(INTENT.encode(r.intent())));
      case OperatorRequest.ConfirmPlan r -> post(PLANS + '/' + r.plan() + '/' + CONFIRM);
      case OperatorRequest.ShowPlan r -> get(PLANS + '/' + r.plan());
      case OperatorRequest.ListPlans r -> {
        var uri = new QueryStringEncoder(PLANS);
        uri.addParam("limit", Integer.toString(r.limit()));
        r.before().ifPresent(p -> uri.addParam("before", p.value()));
        yield get(uri.toString());
      }
      case OperatorRequest.ShowStatus r -> get(STATUS);
      case OperatorRequest.ExplainKey r -> {
        var uri = new QueryStringEncoder(EXPLAIN);
        uri.addParam("service", r.service().value());
        uri.addParam("key", r.key());
        yield get(uri.toString());
      }
    };
  }

  /**
   * Decodes a request.
   *
   * @param call the HTTP request
   * @return what it is
   */
  public static DecodedCall decode(OperatorCall call) {
    QueryStringDecoder uri = new QueryStringDecoder(call.uri());
    String path = uri.rawPath();
    if (path.equals(PLANS)) {
      return decodePlans(call, uri);
    }
    if (path.startsWith(PLANS + '/')) {
      return decodePlan(call, Splitter.on('/').splitToList(path.substring(PLANS.length() + 1)));
    }
    return switch (path) {
      case STATUS -> onlyGet(call, new DecodedCall.Request(new OperatorRequest.ShowStatus()));
      case METRICS -> onlyGet(call, new DecodedCall.Metrics());
      case EXPLAIN -> onlyGet(call, decodeExplain(uri));
      default -> new DecodedCall.UnknownPath();
    };
  }

  private static DecodedCall decodePlans(OperatorCall call, QueryStringDecoder uri) {
    if (call.method().equals(GET)) {
      return decodeList(uri);
    }
    if (!call.method().equals(POST)) {
      return new DecodedCall.WrongMethod(GET + ", " + POST);
    }
    var errors = new JsonErrors();
    return OperatorCodec.decodeIntent(call.body(), errors)
        .<DecodedCall>map(i -> new DecodedCall.Request(new OperatorRequest.MakePlan(i)))
        .orElseGet(() -> new DecodedCall.Malformed(errors.list()));
  }

  private static DecodedCall decodePlan(OperatorCall call, List<String> segments) {
    boolean isConfirm = segments.size() == 2 && segments.get(1).equals(CONFIRM);
    if (segments.size() != 1 && !isConfirm) {
      return new DecodedCall.UnknownPath();
    }
    String method = isConfirm ? POST : GET;
    if (!call.method().equals(method)) {
      return new DecodedCall.WrongMethod(method);
    }
    PlanId plan;
    try {
      plan = PlanId.of(segments.get(0));
    } catch (ModelException e) {
      return malformed("plan", segments.get(0));
    }
    return new DecodedCall.Request(
        isConfirm ? new OperatorRequest.ConfirmPlan(plan) : new OperatorRequest.ShowPlan(plan));
  }

  private static DecodedCall decodeList(QueryStringDecoder uri) {
    return decodeQuery(uri, OperatorCalls::readList);
  }

  private static Optional<OperatorRequest> readList(JsonObjectReader query) {
    int limit = query.optional("limit", LIMIT).orElse(OperatorRequest.ListPlans.MAX_LIMIT);
    return Optional.of(new OperatorRequest.ListPlans(limit, query.optional("before", PLAN)));
  }

  private static Optional<Integer> limitOf(String text) {
    return Optional.ofNullable(Ints.tryParse(text))
        .filter(n -> n >= 1 && n <= OperatorRequest.ListPlans.MAX_LIMIT);
  }

  private static DecodedCall decodeExplain(QueryStringDecoder uri) {
    return decodeQuery(uri, OperatorCalls::readExplain);
  }

  private static Optional<OperatorRequest> readExplain(JsonObjectReader query) {
    Optional<ServiceName> service = query.required("service", JsonValues.name(ServiceName::of));
    Optional<String> key = query.required("key", ANY_TEXT);
    return service.flatMap(s -> key.map(k -> new OperatorRequest.ExplainKey(s, k)));
  }

  private static DecodedCall decodeQuery(
      QueryStringDecoder uri, Function<JsonObjectReader, Optional<OperatorRequest>> reader) {
    var errors = new JsonErrors();
    return QueryReader.read(uri, reader, errors)
        .<DecodedCall>map(DecodedCall.Request::new)
        .orElseGet(() -> new DecodedCall.Malformed(errors.list()));
  }

  private static DecodedCall onlyGet(OperatorCall call, DecodedCall decoded) {
    return call.method().equals(GET) ? decoded : new DecodedCall.WrongMethod(GET);
  }

  private static DecodedCall malformed(String path, String value) {
    var errors = new JsonErrors();
    errors.add(path, value, NAME_RULE);
    return new DecodedCall.Malformed(errors.list());
  }

  private static OperatorCall get(String uri) {
    return new OperatorCall(GET, uri, "");
  }

  private static OperatorCall post(String uri) {
    return new OperatorCall(POST, uri, "");
  }
}
