package org.catkinlift.daemon.operator;

import com.google.common.base.Splitter;
import com.google.common.primitives.Ints;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.catkinlift.daemon.json.IntentCodec;
import org.catkinlift.daemon.json.JsonDecoder;
import org.catkinlift.daemon.json.JsonDecoders;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.daemon.json.JsonFormat;
import org.catkinlift.daemon.json.JsonObjectReader;
import org.catkinlift.daemon.json.StrictJson;
import org.catkinlift.model.ModelException;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.plans.OperatorRequest;

/** Converts operator requests to and from HTTP, for the server and the command line. */
public final class OperatorRequestCodec {
  private static final String GET = "GET";
  private static final String POST = "POST";
  private static final String PLANS = "/v1/plans";
  private static final String STATUS = "/v1/status";
  private static final String EXPLAIN = "/v1/explain";
  private static final String METRICS = "/metrics";
  private static final String CONFIRM = "confirm";
  private static final String NAME_RULE = "1 to 64 lower-case letters, digits, dots or hyphens";
  private static final IntentCodec INTENT = new IntentCodec(new JsonFormat.Api());
  private static final JsonDecoder<Integer> LIMIT =
      JsonDecoders.parsed(
          "integer from 1 to " + OperatorRequest.ListPlans.MAX_LIMIT,
          OperatorRequestCodec::parseLimit);
  private static final JsonDecoder<PlanId> PLAN = JsonDecoders.name(PlanId::of);
  private static final JsonDecoder<String> ANY_TEXT = JsonDecoders.parsed("string", Optional::of);

  private OperatorRequestCodec() {}

  /**
   * Encodes a request.
   *
   * @param request the request
   * @return the HTTP request
   */
  public static OperatorHttpRequest encode(OperatorRequest request) {
    return switch (request) {
      case OperatorRequest.MakePlan r ->
          new OperatorHttpRequest(POST, PLANS, StrictJson.print(INTENT.encode(r.intent())));
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
   * @param httpRequest the HTTP request
   * @return the operator request, or the reason why there is none
   */
  public static DecodedRequest decode(OperatorHttpRequest httpRequest) {
    QueryStringDecoder uri = new QueryStringDecoder(httpRequest.uri());
    String path = uri.rawPath();
    if (path.equals(PLANS)) {
      return decodePlans(httpRequest, uri);
    }
    if (path.startsWith(PLANS + '/')) {
      return decodePlan(
          httpRequest, Splitter.on('/').splitToList(path.substring(PLANS.length() + 1)));
    }
    return switch (path) {
      case STATUS ->
          requireGet(httpRequest, new DecodedRequest.Request(new OperatorRequest.ShowStatus()));
      case METRICS -> requireGet(httpRequest, new DecodedRequest.Metrics());
      case EXPLAIN -> requireGet(httpRequest, decodeExplain(uri));
      default -> new DecodedRequest.UnknownPath();
    };
  }

  private static DecodedRequest decodePlans(
      OperatorHttpRequest httpRequest, QueryStringDecoder uri) {
    if (httpRequest.method().equals(GET)) {
      return decodeList(uri);
    }
    if (!httpRequest.method().equals(POST)) {
      return new DecodedRequest.WrongMethod(GET + ", " + POST);
    }
    var errors = new JsonErrors();
    return OperatorCodec.decodeIntent(httpRequest.body(), errors)
        .<DecodedRequest>map(i -> new DecodedRequest.Request(new OperatorRequest.MakePlan(i)))
        .orElseGet(() -> new DecodedRequest.Malformed(errors.list()));
  }

  private static DecodedRequest decodePlan(OperatorHttpRequest httpRequest, List<String> segments) {
    boolean isConfirm = segments.size() == 2 && segments.get(1).equals(CONFIRM);
    if (segments.size() != 1 && !isConfirm) {
      return new DecodedRequest.UnknownPath();
    }
    String method = isConfirm ? POST : GET;
    if (!httpRequest.method().equals(method)) {
      return new DecodedRequest.WrongMethod(method);
    }
    PlanId plan;
    try {
      plan = PlanId.of(segments.get(0));
    } catch (ModelException e) {
      return malformed("plan", segments.get(0));
    }
    return new DecodedRequest.Request(
        isConfirm ? new OperatorRequest.ConfirmPlan(plan) : new OperatorRequest.ShowPlan(plan));
  }

  private static DecodedRequest decodeList(QueryStringDecoder uri) {
    return decodeQuery(uri, OperatorRequestCodec::readList);
  }

  private static Optional<OperatorRequest> readList(JsonObjectReader query) {
    int limit = query.optional("limit", LIMIT).orElse(OperatorRequest.ListPlans.MAX_LIMIT);
    return Optional.of(new OperatorRequest.ListPlans(limit, query.optional("before", PLAN)));
  }

  private static Optional<Integer> parseLimit(String text) {
    return Optional.ofNullable(Ints.tryParse(text))
        .filter(n -> n >= 1 && n <= OperatorRequest.ListPlans.MAX_LIMIT);
  }

  private static DecodedRequest decodeExplain(QueryStringDecoder uri) {
    return decodeQuery(uri, OperatorRequestCodec::readExplain);
  }

  private static Optional<OperatorRequest> readExplain(JsonObjectReader query) {
    Optional<ServiceName> service = query.required("service", JsonDecoders.name(ServiceName::of));
    Optional<String> key = query.required("key", ANY_TEXT);
    return service.flatMap(s -> key.map(k -> new OperatorRequest.ExplainKey(s, k)));
  }

  private static DecodedRequest decodeQuery(
      QueryStringDecoder uri, Function<JsonObjectReader, Optional<OperatorRequest>> reader) {
    var errors = new JsonErrors();
    return QueryReader.read(uri, reader, errors)
        .<DecodedRequest>map(DecodedRequest.Request::new)
        .orElseGet(() -> new DecodedRequest.Malformed(errors.list()));
  }

  private static DecodedRequest requireGet(
      OperatorHttpRequest httpRequest, DecodedRequest decoded) {
    return httpRequest.method().equals(GET) ? decoded : new DecodedRequest.WrongMethod(GET);
  }

  private static DecodedRequest malformed(String path, String value) {
    var errors = new JsonErrors();
    errors.add(path, value, NAME_RULE);
    return new DecodedRequest.Malformed(errors.list());
  }

  private static OperatorHttpRequest get(String uri) {
    return new OperatorHttpRequest(GET, uri, "");
  }

  private static OperatorHttpRequest post(String uri) {
    return new OperatorHttpRequest(POST, uri, "");
  }
}
