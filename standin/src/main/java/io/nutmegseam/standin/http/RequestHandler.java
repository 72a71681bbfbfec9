package io.nutmegseam.standin.http;

import java.io.IOException;

/** Answers one request. Runs on a worker thread and may block. */
@FunctionalInterface
public interface RequestHandler {
  /**
   * Answers a request.
   *
   * @param exchange the request and the way to answer it
   * @throws IOException if the request cannot be read
   * @throws InterruptedException if the server stops
   */
  void handle(HttpExchange exchange) throws IOException, InterruptedException;
}
