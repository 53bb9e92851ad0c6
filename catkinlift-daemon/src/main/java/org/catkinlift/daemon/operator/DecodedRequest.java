package org.catkinlift.daemon.operator;

import com.google.common.collect.ImmutableList;
import org.catkinlift.daemon.json.JsonError;
import org.catkinlift.plans.OperatorRequest;

/** The result of decoding an HTTP request of the operator API. */
public sealed interface DecodedRequest {

  /**
   * A request of an operator.
   *
   * @param request the request
   */
  record Request(OperatorRequest request) implements DecodedRequest {}

  /** A request for the metrics. */
  record Metrics() implements DecodedRequest {}

  /**
   * A request with a known path and a malformed body, name or query.
   *
   * @param errors all errors in the request
   */
  record Malformed(ImmutableList<JsonError> errors) implements DecodedRequest {}

  /** A request with an unknown path. */
  record UnknownPath() implements DecodedRequest {}

  /**
   * A request with a known path and a method that the path does not support.
   *
   * @param allowed the supported methods, for the {@code Allow} header
   */
  record WrongMethod(String allowed) implements DecodedRequest {}
}
