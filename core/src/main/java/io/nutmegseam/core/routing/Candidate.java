package io.nutmegseam.core.routing;

/**
 * A backend server that can receive a request, with its load as last observed by this node.
 *
 * @param server name of the server
 * @param outstanding requests of this node that are in flight at the server
 * @param reportedLoad running and queued requests according to the last load report
 * @param reportAgeMillis age of the load report, in milliseconds
 * @param tokensPerSecond generation speed of one stream without other requests
 * @param latencyMillis one-way network latency, in milliseconds
 * @param prefixCached whether the server has probably cached the prefix of the prompt
 */
public record Candidate(
    String server,
    int outstanding,
    int reportedLoad,
    long reportAgeMillis,
    double tokensPerSecond,
    double latencyMillis,
    boolean prefixCached) {
  /** Time after which the weight of a load report is halved. */
  private static final double REPORT_HALF_LIFE_MILLIS = 2_000;

  /** Slowdown of a stream by each other stream in the batch, as a share. */
  private static final double SLOWDOWN_PER_STREAM = 0.125;

  /** Number of prompt tokens that are processed in the time of one generated token. */
  private static final double PROMPT_TOKENS_PER_TOKEN = 20;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Returns the expected time until the response is complete, in milliseconds.
   *
   * @param promptTokens length of the prompt, in tokens
   * @param completionTokens expected length of the completion, in tokens
   */
  public double expectedCompletionMillis(int promptTokens, int completionTokens) {
    double reportWeight = Math.pow(0.5, reportAgeMillis / REPORT_HALF_LIFE_MILLIS);
    double otherStreams = Math.max(outstanding, reportedLoad * reportWeight);
    double promptCost = prefixCached ? 0 : promptTokens / PROMPT_TOKENS_PER_TOKEN;
    double tokens = promptCost + completionTokens;
    double slowdown = 1 + SLOWDOWN_PER_STREAM * otherStreams;
    return 2 * latencyMillis + tokens * slowdown * MILLIS_PER_SECOND / tokensPerSecond;
  }
}
