package org.catkinlift.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;

/**
 * A request of a caller that was read whole.
 *
 * @param id the caller's name of this attempt
 * @param method the method
 * @param host the host that it names, in lower case
 * @param target the path with its query, as sent
 * @param path the path without its query
 * @param headers the headers that are passed on
 * @param body the body
 * @param deadlineMillis how long the caller waits, if it said so
 * @param receivedNanos when its head arrived
 */
record CallerRequest(
    String id,
    String method,
    String host,
    String target,
    String path,
    HttpHeaders headers,
    ByteBuf body,
    OptionalLong deadlineMillis,
    long receivedNanos) {}
