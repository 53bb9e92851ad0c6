package org.catkinlift.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.catkinlift.tenants.Credentials;

/**
 * A request of a caller, whose body may not have been received yet.
 *
 * @param id the request id that the caller assigned to this attempt
 * @param method the HTTP method
 * @param host the name in the Host header, in lower case and without the port
 * @param target the path and query, as received
 * @param path the path without the query
 * @param headers the headers to forward
 * @param credentials what the headers state about the tenant; read only if there are tenants
 * @param body the body
 * @param deadlineMillis the time that the caller waits for the response, if stated
 * @param receivedNanos when the request head was received, in monotonic nanoseconds
 */
record CallerRequest(
    String id,
    String method,
    String host,
    String target,
    String path,
    HttpHeaders headers,
    Supplier<Credentials> credentials,
    RequestBody body,
    OptionalLong deadlineMillis,
    long receivedNanos) {}
