package org.catkinlift.standin.platform;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/** A request to the platform stand-in, independent of HTTP. */
sealed interface PlatformCall {

  /** Reads one row. */
  record ReadRow(String name) implements PlatformCall {}

  /** Reads the rows whose names start with a prefix. */
  record ReadRows(String prefix) implements PlatformCall {}

  /** Executes a transaction. */
  record Transact(TableTransaction transaction) implements PlatformCall {}

  /** Reads an object. */
  record ReadObject(String name) implements PlatformCall {}

  /** Creates or replaces an object. */
  record WriteObject(String name, Buffer content) implements PlatformCall {}

  /** Reads the host list, which lags by the configured time. */
  record ReadHosts() implements PlatformCall {}

  /** Replaces the host list; controls the stand-in and is not part of the platform. */
  record ReplaceHosts(HostList list) implements PlatformCall {}

  /** Reads the injected faults; controls the stand-in. */
  record ReadFaults() implements PlatformCall {}

  /** Changes the faults given in the body; controls the stand-in. */
  record ChangeFaults(String json) implements PlatformCall {}

  /**
   * Parses a request.
   *
   * @param method the HTTP method
   * @param path the decoded path; row and object names may contain slashes
   * @param prefix the {@code prefix} query parameter
   * @param body the request body
   * @return the call; empty if the method and path match no call
   * @throws IllegalArgumentException if the body is malformed
   */
  static Optional<PlatformCall> parse(
      String method, String path, Optional<String> prefix, Buffer body) {
    String name = path.substring(path.indexOf('/', 1) + 1);
    String root = path.substring(0, path.length() - name.length());
    return Optional.ofNullable(
        switch (method + " " + root) {
          case "GET /table/" -> new ReadRow(name);
          case "GET /objects/" -> new ReadObject(name);
          case "PUT /objects/" -> new WriteObject(name, body.copy());
          default -> parseExactPath(method + " " + path, prefix, body);
        });
  }

  private static PlatformCall parseExactPath(
      String methodAndPath, Optional<String> prefix, Buffer body) {
    return switch (methodAndPath) {
      case "GET /table" -> new ReadRows(prefix.orElse(""));
      case "POST /transactions" -> new Transact(PlatformJson.toTransaction(body.toString()));
      case "GET /hosts" -> new ReadHosts();
      case "PUT /hosts" -> new ReplaceHosts(PlatformJson.toHosts(body.toString()));
      case "GET /faults" -> new ReadFaults();
      case "POST /faults" -> new ChangeFaults(body.toString());
      default -> null;
    };
  }
}
