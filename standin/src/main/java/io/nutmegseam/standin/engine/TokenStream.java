package io.nutmegseam.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** The tokens of one attempt; readers may come late, break off and resume. */
final class TokenStream {
  private final String attempt;
  private final String prompt;
  private final List<String> tokens = new ArrayList<>();
  private boolean done;
  private boolean cancelled;

  TokenStream(String attempt, String prompt) {
    this.attempt = attempt;
    this.prompt = prompt;
  }

  String attemptId() {
    return attempt;
  }

  /** Returns the token at an index; it depends on the prompt alone. */
  static String token(String prompt, int index) {
    return Integer.toHexString(prompt.hashCode()) + "-" + index + " ";
  }

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

  /** Returns the tokens from an index on, once there are some or the generation is done. */
  synchronized List<String> awaitTokens(int index) throws InterruptedException {
    while (tokens.size() <= index && !done) {
      wait();
    }
    return tokens.size() <= index ? List.of() : List.copyOf(tokens.subList(index, tokens.size()));
  }
}
