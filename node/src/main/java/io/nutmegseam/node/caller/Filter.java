package io.nutmegseam.node.caller;

import io.nutmegseam.core.error.RequestException;

/** One step in processing a caller's request. */
@FunctionalInterface
public interface Filter {
  /** The filters that follow in the chain. */
  @FunctionalInterface
  interface Next {
    /**
     * Runs the filters that follow.
     *
     * @param request the request, as the next filter receives it
     * @param sink sends the response to the caller, or to the filter that passes the request on
     * @return the response that was sent
     * @throws RequestException if the request is refused or fails
     */
    SentResponse proceed(CallerRequest request, ResponseSink sink) throws RequestException;
  }

  /**
   * Processes a request and runs the filters that follow.
   *
   * @param request the request
   * @param sink sends the response to the caller
   * @param next the filters that follow
   * @return the response that was sent
   * @throws RequestException if the request is refused or fails
   */
  SentResponse apply(CallerRequest request, ResponseSink sink, Next next) throws RequestException;

  /**
   * Returns a filter that runs the given filters in order.
   *
   * @param filters the filters in order; the last one must not call the next one
   */
  static Filter chain(Filter... filters) {
    Filter chain = filters[filters.length - 1];
    for (int i = filters.length - 2; i >= 0; i--) {
      Filter first = filters[i];
      Filter rest = chain;
      chain =
          (request, sink, next) ->
              first.apply(request, sink, (forwarded, used) -> rest.apply(forwarded, used, next));
    }
    return chain;
  }
}
