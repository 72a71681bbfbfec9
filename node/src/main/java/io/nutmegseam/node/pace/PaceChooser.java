package io.nutmegseam.node.pace;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.pace.Candidate;
import io.nutmegseam.core.pace.FirstEventRule;
import io.nutmegseam.core.pace.Pace;
import io.nutmegseam.core.pace.PromptRequest;
import io.nutmegseam.core.routing.RendezvousHash;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/** Chooses a server by the expected time to the first event. Confined to the traffic thread. */
public final class PaceChooser {
  /** Up to this number of servers all are compared; else two of each group, drawn at random. */
  private static final int MAX_SERVERS_TO_COMPARE = 4;

  /** Upper bound of the random cost that breaks ties. */
  private static final double TIE_BREAK_MILLIS = 0.5;

  private final String dataCentre;
  private final PaceTracker tracker;
  private final Loads loads;
  private final RandomGenerator random;

  /**
   * What is known of the load of servers.
   *
   * @param utilisation expected share of a server's slots in use, with one further request
   * @param overdueMillis time for which the oldest of several requests at a server has had no
   *     response, by the server's id
   */
  public record Loads(
      ToDoubleFunction<ServerEntry> utilisation, ToLongFunction<String> overdueMillis) {}

  /**
   * Creates a chooser.
   *
   * @param dataCentre data centre of this node
   * @param tracker what this node knows of the speed of servers
   * @param loads load of the servers
   * @param random source of random numbers
   */
  public PaceChooser(String dataCentre, PaceTracker tracker, Loads loads, RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.tracker = tracker;
    this.loads = loads;
    this.random = random;
  }

  /**
   * Returns the chosen server; empty if too little is known of the speed of the service.
   *
   * @param pool servers that can run the request; at least one
   * @param affinity the shared part of its prompt; empty if there is none
   * @param promptKey its model and the shared part of its prompt
   * @param request its prompt
   */
  public Optional<ServerEntry> choose(
      List<ServerEntry> pool, String affinity, String promptKey, PromptRequest request) {
    Optional<Pace> typical = tracker.pace(pool.get(0));
    if (typical.isEmpty()) {
      return Optional.empty();
    }
    Optional<ServerEntry> preferred =
        affinity.isEmpty()
            ? Optional.empty()
            : pool.stream()
                .max(Comparator.comparingLong(e -> RendezvousHash.weight(affinity, id(e))));
    boolean compareAll =
        pool.size() <= MAX_SERVERS_TO_COMPARE
            || FirstEventRule.isLong(
                typical.get().millisPerToken() * request.promptTokens(),
                request.shortestTargetMillis());
    Map<String, ServerEntry> entries = new HashMap<>();
    List<Candidate> candidates = new ArrayList<>();
    for (ServerEntry entry : compareAll ? pool : draw(pool, preferred)) {
      if (entries.put(id(entry), entry) == null) {
        candidates.add(candidate(entry, preferred.filter(entry::equals).isPresent()));
      }
    }
    FirstEventRule.Choice choice =
        tracker.rule().choose(candidates, request, c -> random.nextDouble() * TIE_BREAK_MILLIS);
    preferred.ifPresent(entry -> tracker.setPreferred(promptKey, id(entry)));
    if (choice.isLong()) {
      tracker.logLongPrompt(choice, request, candidates.size());
    }
    return Optional.of(entries.get(choice.candidate().server()));
  }

  /**
   * Draws two servers of this data centre and two others, besides the preferred one. What nodes
   * know of a server's load is some hundred milliseconds old; if all of them chose the fastest one,
   * it would become the slowest.
   */
  private List<ServerEntry> draw(List<ServerEntry> pool, Optional<ServerEntry> preferred) {
    List<ServerEntry> drawn = new ArrayList<>();
    preferred.ifPresent(drawn::add);
    drawTwo(pool.stream().filter(this::isLocal).toList(), drawn);
    drawTwo(pool.stream().filter(entry -> !isLocal(entry)).toList(), drawn);
    return drawn;
  }

  private void drawTwo(List<ServerEntry> group, List<ServerEntry> drawn) {
    if (group.size() <= 2) {
      drawn.addAll(group);
      return;
    }
    int first = random.nextInt(group.size());
    int second = random.nextInt(group.size() - 1);
    drawn.add(group.get(first));
    drawn.add(group.get(second < first ? second : second + 1));
  }

  private Candidate candidate(ServerEntry entry, boolean cached) {
    String id = id(entry);
    return new Candidate(
        id,
        isLocal(entry),
        cached,
        tracker.pace(entry).orElseThrow(),
        tracker.backlog().tokens(id),
        tracker.backlog().longPrompts(id) > 0,
        loads.utilisation().applyAsDouble(entry),
        tracker.holdMillis(entry.service()),
        loads.overdueMillis().applyAsLong(id));
  }

  private boolean isLocal(ServerEntry entry) {
    return entry.dataCentre().equals(dataCentre);
  }

  private static String id(ServerEntry entry) {
    return entry.incarnation().id();
  }
}
