package org.catkinlift.standin.platform;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/** A request to the platform stand-in, free of HTTP. */
sealed interface PlatformCall {

  /** Reads one row. */
  record ReadRow(String name) implements PlatformCall {}

  /** Reads the rows whose name starts with a prefix. */
  record ReadRows(String prefix) implements PlatformCall {}

  /** Runs a transaction. */
  record Transact(TableTransaction transaction) implements PlatformCall {}

  /** Reads an object. */
  record ReadObject(String name) implements PlatformCall {}

  /** Adds or replaces an object. */
  record WriteObject(String name, Buffer content) implements PlatformCall {}

  /** Reads the host list, which lags. */
  record ReadHosts() implements PlatformCall {}

  /** Replaces the host list; not part of the platform, controls the stand-in. */
  record ReplaceHosts(HostList list) implements PlatformCall {}

  /** Reads the faults; controls the stand-in. */
  record ReadFaults() implements PlatformCall {}

  /** Changes the faults that the body names; controls the stand-in. */
  record ChangeFaults(String json) implements PlatformCall {}

  /**
   * Parses a request.
   *
   * @param method the HTTP method
   * @param path the decoded path; row and object names may contain slashes
   * @param prefix the query parameter of the same name
   * @param body the body
   * @return the call; empty if there is none at this path
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
