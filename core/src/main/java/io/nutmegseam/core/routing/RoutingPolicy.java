package io.nutmegseam.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the backend server of a request. */
@FunctionalInterface
public interface RoutingPolicy {
  /**
   * Chooses a server.
   *
   * @param candidates the servers that can take the request
   * @param promptTokens length of the prompt
   * @param answerTokens expected length of the answer
   * @param random source of random choices
   * @return the chosen server, or empty if there is none
   */
  Optional<Candidate> choose(
      List<Candidate> candidates, int promptTokens, int answerTokens, RandomGenerator random);

  /** The better of two random servers by expected completion time. */
  static RoutingPolicy expectedCompletion() {
    return (candidates, promptTokens, answerTokens, random) -> {
      if (candidates.size() <= 1) {
        return candidates.stream().findFirst();
      }
      int first = random.nextInt(candidates.size());
      int offset = 1 + random.nextInt(candidates.size() - 1);
      Candidate one = candidates.get(first);
      Candidate other = candidates.get((first + offset) % candidates.size());
      double oneMillis = one.expectedCompletionMillis(promptTokens, answerTokens);
      double otherMillis = other.expectedCompletionMillis(promptTokens, answerTokens);
      return Optional.of(oneMillis <= otherMillis ? one : other);
    };
  }

  /** A random server. */
  static RoutingPolicy random() {
    return (candidates, promptTokens, answerTokens, random) ->
        candidates.isEmpty()
            ? Optional.empty()
            : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  /** Returns the policy with a name of the policy record. */
  static RoutingPolicy named(String name) {
    return name.equals("random") ? random() : expectedCompletion();
  }
}
