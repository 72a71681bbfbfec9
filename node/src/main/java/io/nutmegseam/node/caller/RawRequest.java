package io.nutmegseam.node.caller;

import java.util.Optional;
import java.util.function.Function;
import okio.ByteString;

/**
 * A request as it came in.
 *
 * @param method HTTP method
 * @param path path without the query
 * @param query query string; empty for none
 * @param headers returns a header's value
 * @param body whole body
 */
public record RawRequest(
    String method,
    String path,
    String query,
    Function<String, Optional<String>> headers,
    ByteString body) {}
