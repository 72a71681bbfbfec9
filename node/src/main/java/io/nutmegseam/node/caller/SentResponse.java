package io.nutmegseam.node.caller;

import okio.ByteString;

/**
 * An answer that was sent to the caller.
 *
 * @param server the backend server that gave it; empty for a stored answer
 * @param status HTTP status
 * @param contentType content type
 * @param body body of a plain service's answer; empty for a completion
 * @param tokens tokens of a completion
 */
public record SentResponse(
    String server, int status, String contentType, ByteString body, int tokens) {}
