package org.catkinlift.cli;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Streams;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.catkinlift.daemon.json.JsonDecoders;
import org.catkinlift.daemon.json.JsonErrors;
import org.catkinlift.daemon.json.StrictJson;
import org.catkinlift.daemon.operator.OperatorCodec;
import org.catkinlift.daemon.operator.OperatorHttpRequest;
import org.catkinlift.daemon.operator.OperatorRequestCodec;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.OperatorRequest;

/** A blocking client for the operator API of one daemon. */
final class OperatorClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

  /** Exceeds the daemon's own time limit for a reply (10 s). */
  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(15);

  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAUTHORIZED = 401;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();
  private final NetworkAddress operatorAddress;
  private final String token;

  /**
   * Creates a client.
   *
   * @param operatorAddress the address of the daemon's operator API
   * @param token the operator token
   */
  OperatorClient(NetworkAddress operatorAddress, String token) {
    this.operatorAddress = operatorAddress;
    this.token = token;
  }

  /**
   * Sends a request and waits for the reply.
   *
   * @param request the request
   * @return the reply, which may be {@link OperatorReply.Failed}
   * @throws CliException if there is no response, or the daemon rejected the token or the request
   */
  OperatorReply send(OperatorRequest request) {
    OperatorHttpRequest call = OperatorRequestCodec.encode(request);
    HttpResponse<String> response = exchange(call);
    return switch (response.statusCode()) {
      case STATUS_UNAUTHORIZED ->
          throw new CliException(
              CliException.Code.UNAUTHORIZED, operatorAddress + " does not accept the token");
      case STATUS_BAD_REQUEST ->
          throw new CliException(CliException.Code.REFUSED, errorsOf(response.body()));
      default -> replyOf(response);
    };
  }

  private HttpResponse<String> exchange(OperatorHttpRequest call) {
    String target = JsonDecoders.formatAddress(operatorAddress);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + target + call.uri()))
            .timeout(REPLY_TIMEOUT)
            .header("Authorization", "Bearer " + token)
            .method(call.method(), HttpRequest.BodyPublishers.ofString(call.body()))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new CliException(
          CliException.Code.UNREACHABLE, "no answer from " + target + ": " + e, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CliException(CliException.Code.UNREACHABLE, "interrupted", e);
    }
  }

  private static OperatorReply replyOf(HttpResponse<String> response) {
    return OperatorCodec.decodeReply(response.body(), new JsonErrors())
        .orElseThrow(
            () ->
                new CliException(
                    CliException.Code.INVALID_RESPONSE,
                    "the daemon answered with status " + response.statusCode()));
  }

  private static ImmutableList<String> errorsOf(String body) {
    return StrictJson.parse(body, new JsonErrors()).stream()
        .flatMap(node -> Streams.stream(node.path("errors")))
        .map(OperatorClient::describe)
        .collect(toImmutableList());
  }

  private static String describe(JsonNode error) {
    return error.path("path").asText()
        + ": "
        + error.path("value").asText()
        + " is not allowed; allowed: "
        + error.path("allowed").asText();
  }
}
