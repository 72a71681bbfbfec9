package io.nutmegseam.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the backend server of a request. */
@FunctionalInterface
public interface RoutingPolicy {
  /**
   * Chooses one of the candidates.
   *
   * @param candidates the servers that can receive the request
   * @param promptTokens length of the prompt, in tokens
   * @param completionTokens expected length of the completion, in tokens
   * @param random source of random choices
   * @return the chosen server, or empty if there are no candidates
   */
  Optional<Candidate> choose(
      List<Candidate> candidates, int promptTokens, int completionTokens, RandomGenerator random);

  /** Returns a policy that chooses the better of two random servers by expected completion time. */
  static RoutingPolicy expectedCompletion() {
    return (candidates, promptTokens, completionTokens, random) -> {
      if (candidates.size() <= 1) {
        return candidates.stream().findFirst();
      }
      int firstIndex = random.nextInt(candidates.size());
      int offset = 1 + random.nextInt(candidates.size() - 1);
      Candidate first = candidates.get(firstIndex);
      Candidate second = candidates.get((firstIndex + offset) % candidates.size());
      double firstMillis = first.expectedCompletionMillis(promptTokens, completionTokens);
      double secondMillis = second.expectedCompletionMillis(promptTokens, completionTokens);
      return Optional.of(firstMillis <= secondMillis ? first : second);
    };
  }

  /** Returns a policy that chooses a server at random. */
  static RoutingPolicy random() {
    return (candidates, promptTokens, completionTokens, random) ->
        candidates.isEmpty()
            ? Optional.empty()
            : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  /** Returns the policy of a policy record: {@code random}, else by expected completion time. */
  static RoutingPolicy named(String name) {
    return name.equals("random") ? random() : expectedCompletion();
  }
}
