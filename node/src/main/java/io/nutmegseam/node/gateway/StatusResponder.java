package io.nutmegseam.node.gateway;

/** Makes short answers about the node itself. Runs on the traffic thread and must not block. */
@FunctionalInterface
public interface StatusResponder {
  /**
   * An answer.
   *
   * @param status its status code
   * @param text its body, as plain text
   */
  record Response(int status, String text) {}

  /**
   * Answers a request.
   *
   * @param path the path, without the query
   */
  Response respond(String path);
}
