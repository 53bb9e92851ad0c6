package org.catkinlift.daemon.operator;

import com.google.common.collect.ImmutableList;
import org.catkinlift.daemon.json.JsonError;
import org.catkinlift.plans.OperatorRequest;

/** States what an HTTP request of the operator API turned out to be. */
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
   * A known path with a malformed body, name or query.
   *
   * @param errors everything that is wrong with it
   */
  record Malformed(ImmutableList<JsonError> errors) implements DecodedRequest {}

  /** A path that does not exist. */
  record UnknownPath() implements DecodedRequest {}

  /**
   * A known path with a method that it does not have.
   *
   * @param allowed the methods that it has
   */
  record WrongMethod(String allowed) implements DecodedRequest {}
}
