package org.catkinlift.daemon.operator;

/**
 * An HTTP request of the operator API.
 *
 * @param method the HTTP method
 * @param uri the path and query
 * @param body the body; empty if there is none
 */
public record OperatorHttpRequest(String method, String uri, String body) {}
