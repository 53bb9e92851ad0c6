package org.catkinlift.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.daemon.json.StrictJson;
import org.catkinlift.plans.OperatorReply;

/**
 * An HTTP response of the operator API.
 *
 * @param status the HTTP status
 * @param headers the headers except {@code Content-Length}
 * @param body the body; may be empty
 */
record HttpReply(int status, ImmutableMap<String, String> headers, String body) {
  private static final String CONTENT_TYPE = "Content-Type";
  private static final String JSON = "application/json";

  /**
   * Returns a text response.
   *
   * @param status the HTTP status
   * @param type the content type
   * @param body the text
   * @return the response
   */
  static HttpReply text(int status, String type, String body) {
    return new HttpReply(status, ImmutableMap.of(CONTENT_TYPE, type), body);
  }

  /**
   * Returns a response without a body.
   *
   * @param status the HTTP status
   * @return the response
   */
  static HttpReply empty(int status) {
    return new HttpReply(status, ImmutableMap.of(), "");
  }

  /**
   * Returns a response with a header and no body.
   *
   * @param status the HTTP status
   * @param header the name of the header
   * @param value the value of the header
   * @return the response
   */
  static HttpReply withHeader(int status, String header, String value) {
    return new HttpReply(status, ImmutableMap.of(header, value), "");
  }

  /**
   * Returns a JSON response.
   *
   * @param status the HTTP status
   * @param body the document
   * @return the response
   */
  static HttpReply json(int status, JsonNode body) {
    return text(status, JSON, StrictJson.print(body));
  }

  /**
   * Returns the response for a reply of the control thread.
   *
   * @param reply the reply
   * @return the response
   */
  static HttpReply of(OperatorReply reply) {
    return json(statusOf(reply), OperatorCodec.encode(reply));
  }

  private static int statusOf(OperatorReply reply) {
    return switch (reply) {
      case OperatorReply.PlanShown r -> 200;
      case OperatorReply.PlansListed r -> 200;
      case OperatorReply.Facts r -> 200;
      case OperatorReply.Failed r ->
          switch (r.reason()) {
            case NOT_FOUND -> 404;
            case CONFLICT -> 409;
            case REFUSED -> 422;
            case PLATFORM_UNREACHABLE -> 503;
          };
    };
  }
}
