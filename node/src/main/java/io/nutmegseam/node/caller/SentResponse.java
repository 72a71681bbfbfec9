package io.nutmegseam.node.caller;

import okio.ByteString;

/**
 * A response that was sent to the caller.
 *
 * @param server name of the backend server that produced it; empty for a stored response
 * @param status HTTP status
 * @param contentType content type
 * @param body body of a plain service's response; empty for a completion
 * @param tokens number of tokens of a completion; 0 for a plain service
 */
public record SentResponse(
    String server, int status, String contentType, ByteString body, int tokens) {}
