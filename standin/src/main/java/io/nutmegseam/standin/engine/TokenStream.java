package io.nutmegseam.standin.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * Stores the tokens generated for one attempt, so that a client can resume the stream at any token
 * after a disconnect.
 */
final class TokenStream {
  private final String attemptId;
  private final String prompt;
  private final List<String> tokens = new ArrayList<>();
  private boolean done;
  private boolean cancelled;

  TokenStream(String attemptId, String prompt) {
    this.attemptId = attemptId;
    this.prompt = prompt;
  }

  String attemptId() {
    return attemptId;
  }

  /** Returns the token at an index, which depends only on the prompt and the index. */
  static String token(String prompt, int index) {
    return Integer.toHexString(prompt.hashCode()) + "-" + index + " ";
  }

  /** Adds up to {@code count} tokens; the stream is done once it has {@code limit} tokens. */
  synchronized void generate(int count, int limit) {
    for (int i = 0; i < count && tokens.size() < limit; i++) {
      tokens.add(token(prompt, tokens.size()));
    }
    done = tokens.size() >= limit;
    notifyAll();
  }

  synchronized void cancel() {
    cancelled = true;
    done = true;
    notifyAll();
  }

  synchronized boolean isDone() {
    return done;
  }

  synchronized boolean isCancelled() {
    return cancelled;
  }

  /**
   * Waits until the stream has a token at the index or is done, then returns the tokens from the
   * index on; the list is empty if the stream is done without such a token.
   */
  synchronized List<String> awaitTokens(int index) throws InterruptedException {
    while (tokens.size() <= index && !done) {
      wait();
    }
    return tokens.size() <= index ? List.of() : List.copyOf(tokens.subList(index, tokens.size()));
  }
}
