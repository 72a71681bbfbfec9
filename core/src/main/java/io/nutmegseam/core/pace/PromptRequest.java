package io.nutmegseam.core.pace;

/**
 * What the choice of a server needs to know of a request with a prompt.
 *
 * @param promptTokens tokens of the prompt
 * @param sharedTokens tokens of the prompt that a server may have cached
 * @param leftMillis time until the first event is late, in milliseconds
 * @param crossingBytes expected bytes of the request and its response
 * @param shortestTargetMillis shortest target of the streaming routes of the service, in
 *     milliseconds
 */
public record PromptRequest(
    long promptTokens,
    long sharedTokens,
    long leftMillis,
    long crossingBytes,
    long shortestTargetMillis) {
  /** Returns the tokens that a server has to process. */
  public long tokensToProcess(boolean cached) {
    return cached ? Math.max(0, promptTokens - sharedTokens) : promptTokens;
  }
}
