package io.nutmegseam.node.caller;

import java.util.Optional;
import java.util.function.Function;
import okio.ByteString;

/**
 * An HTTP request as received, before it is parsed.
 *
 * @param method HTTP method
 * @param path path without the query
 * @param query query string without the question mark; empty if there is none
 * @param headers returns the value of a header, or empty if it is missing
 * @param body the complete body
 */
public record RawRequest(
    String method,
    String path,
    String query,
    Function<String, Optional<String>> headers,
    ByteString body) {}
