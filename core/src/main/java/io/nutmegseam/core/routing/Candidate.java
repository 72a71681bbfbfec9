package io.nutmegseam.core.routing;

/**
 * A backend server that can take a request, as one router sees it.
 *
 * @param server the server's name
 * @param outstanding requests of this router that run there
 * @param reportedLoad running and queued requests of the last report
 * @param reportAgeMillis age of the report, in milliseconds
 * @param tokensPerSecond generation speed of one stream
 * @param latencyMillis one-way latency, in milliseconds
 * @param prefixCached whether the server probably has the prompt's prefix in its cache
 */
public record Candidate(
    String server,
    int outstanding,
    int reportedLoad,
    long reportAgeMillis,
    double tokensPerSecond,
    double latencyMillis,
    boolean prefixCached) {
  /** A report loses half its weight in this time. */
  private static final double REPORT_HALF_LIFE_MILLIS = 2_000;

  /** Slowdown of a stream by each further stream in the batch, as a share. */
  private static final double SLOWDOWN_PER_STREAM = 0.125;

  /** Prompt tokens processed in the time of one generated token. */
  private static final double PROMPT_TOKENS_PER_TOKEN = 20;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Returns the expected time until a request is complete, in milliseconds.
   *
   * @param promptTokens length of the prompt
   * @param answerTokens expected length of the answer
   */
  public double expectedCompletionMillis(int promptTokens, int answerTokens) {
    double reportWeight = Math.pow(0.5, reportAgeMillis / REPORT_HALF_LIFE_MILLIS);
    double streams = Math.max(outstanding, reportedLoad * reportWeight);
    double promptCost = prefixCached ? 0 : promptTokens / PROMPT_TOKENS_PER_TOKEN;
    double tokens = promptCost + answerTokens;
    double slowdown = 1 + SLOWDOWN_PER_STREAM * streams;
    return 2 * latencyMillis + tokens * slowdown * MILLIS_PER_SECOND / tokensPerSecond;
  }
}
