package io.nutmegseam.node.caller;

import io.nutmegseam.core.error.RequestException;

/** One step of a request's path. */
@FunctionalInterface
public interface Filter {
  /** The rest of the path. */
  @FunctionalInterface
  interface Next {
    /**
     * Runs the rest of the path.
     *
     * @param call the request, as this filter passes it on
     * @return the answer that was sent
     * @throws RequestException if the request is refused or fails
     */
    Answered proceed(Call call) throws RequestException;
  }

  /**
   * Does this step and the rest of the path.
   *
   * @param call the request
   * @param sink the way back to the caller
   * @param next the rest of the path
   * @return the answer that was sent
   * @throws RequestException if the request is refused or fails
   */
  Answered apply(Call call, AnswerSink sink, Next next) throws RequestException;

  /**
   * Joins filters to one.
   *
   * @param filters the filters, first to last; the last one must not proceed
   */
  static Filter join(Filter... filters) {
    Filter joined = filters[filters.length - 1];
    for (int i = filters.length - 2; i >= 0; i--) {
      Filter first = filters[i];
      Filter rest = joined;
      joined =
          (call, sink, next) -> first.apply(call, sink, passed -> rest.apply(passed, sink, next));
    }
    return joined;
  }
}
