package io.nutmegseam.core.pace;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Chooses a server by the expected time to the first event and by the bytes that a request moves
 * between data centres.
 */
public final class FirstEventRule {
  /** Part of the time left up to which an expected time counts as in time; estimates are rough. */
  private static final double IN_TIME_SHARE = 0.5;

  /**
   * Bytes between data centres that are accepted for one millisecond: 55 KB of prompt move for a
   * quarter of a second, and a short request for a step of the batch.
   */
  private static final double BYTES_PER_MILLI = 220;

  /** A prompt is long if its prefill takes this part of the shortest target of its service. */
  private static final double LONG_SHARE = 0.25;

  private final boolean longPromptSpread;

  /**
   * The choice with its inputs, for the log.
   *
   * @param candidate the chosen server
   * @param expectedMillis expected time to the first event there, in milliseconds
   * @param isLong whether the prompt is long there
   * @param avoided number of candidates that were left out because of a long prompt
   */
  public record Choice(Candidate candidate, double expectedMillis, boolean isLong, int avoided) {}

  /**
   * Creates a rule.
   *
   * @param longPromptSpread whether a server gets at most one long prompt at a time while others
   *     are free
   */
  public FirstEventRule(boolean longPromptSpread) {
    this.longPromptSpread = longPromptSpread;
  }

  /**
   * Returns whether a prompt delays short ones noticeably.
   *
   * @param prefillMillis time that a server needs for the prompt, in milliseconds
   * @param shortestTargetMillis shortest target of the streaming routes of the service
   */
  public static boolean isLong(double prefillMillis, long shortestTargetMillis) {
    return prefillMillis > LONG_SHARE * shortestTargetMillis;
  }

  /**
   * Returns the server for a request.
   *
   * @param candidates the servers; at least one
   * @param request the request
   * @param tieBreak small random cost of a candidate, in milliseconds
   */
  public Choice choose(
      List<Candidate> candidates, PromptRequest request, ToDoubleFunction<Candidate> tieBreak) {
    double limitMillis = request.leftMillis() * IN_TIME_SHARE;
    List<Candidate> near =
        candidates.stream()
            .filter(c -> c.local() && c.expectedMillis(request) <= limitMillis)
            .toList();
    List<Candidate> reachable = near.isEmpty() ? candidates : near;
    List<Candidate> pool = withoutSecondLongPrompt(reachable, request);
    Candidate best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (Candidate candidate : pool) {
      double distance = candidate.local() ? 0 : request.crossingBytes() / BYTES_PER_MILLI;
      double cost =
          candidate.expectedMillis(request) + distance + tieBreak.applyAsDouble(candidate);
      if (best == null || cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return new Choice(
        best,
        best.expectedMillis(request),
        isLong(best.prefillMillis(request), request.shortestTargetMillis()),
        reachable.size() - pool.size());
  }

  /**
   * Leaves out the servers that process a long prompt if the request has one too, unless all do or
   * the others would be late. A short request needs no such rule: the prompts ahead of it are part
   * of its expected time.
   */
  private List<Candidate> withoutSecondLongPrompt(
      List<Candidate> candidates, PromptRequest request) {
    if (!longPromptSpread) {
      return candidates;
    }
    List<Candidate> others =
        candidates.stream()
            .filter(
                c ->
                    !c.longAhead()
                        || !isLong(c.prefillMillis(request), request.shortestTargetMillis()))
            .toList();
    boolean inTime =
        others.stream().anyMatch(c -> c.expectedMillis(request) <= request.leftMillis());
    return inTime ? others : candidates;
  }
}
