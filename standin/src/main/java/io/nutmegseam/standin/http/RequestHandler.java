package io.nutmegseam.standin.http;

import java.io.IOException;

/** Handles a request on a worker thread; may block. */
@FunctionalInterface
public interface RequestHandler {
  /**
   * Handles a request and sends its response.
   *
   * @param exchange the request and its connection
   * @throws IOException if the request cannot be read
   * @throws InterruptedException if the server is closed while the request is handled
   */
  void handle(HttpExchange exchange) throws IOException, InterruptedException;
}
