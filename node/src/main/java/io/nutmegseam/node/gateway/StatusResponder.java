package io.nutmegseam.node.gateway;

/** Creates responses about the node itself. Runs on the traffic thread and must not block. */
@FunctionalInterface
public interface StatusResponder {
  /**
   * A response.
   *
   * @param status its status code
   * @param text its body, as plain text
   */
  record Response(int status, String text) {}

  /**
   * Returns the response to a request.
   *
   * @param path the path, without the query
   */
  Response respond(String path);
}
