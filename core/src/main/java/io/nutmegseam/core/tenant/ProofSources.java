package io.nutmegseam.core.tenant;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * Chooses which nodes a node asks for the age of its configuration: the one that proved it last for
 * as long as it does, and otherwise the reader that it follows and a few others in turn.
 */
public final class ProofSources {
  /**
   * Nodes that are asked at once while none is known to answer. With two rounds a second all of a
   * dozen connected nodes are asked within the time for which the last proof is still good.
   */
  private static final int MAX_ASKED = 4;

  private String lastProver = "";
  private boolean answered;
  private String lastAsked = "";

  /** Records that the answer of a node has proven the configuration to be young. */
  public void onProven(String node) {
    lastProver = node;
    answered = true;
  }

  /**
   * Returns the nodes to ask in this round.
   *
   * @param readers nodes that read the store for this one
   * @param connected all connected nodes
   */
  public List<String> next(Set<String> readers, Set<String> connected) {
    if (answered && connected.contains(lastProver)) {
      answered = false;
      return List.of(lastProver);
    }
    answered = false;
    Set<String> first = new TreeSet<>(readers);
    first.retainAll(connected);
    List<String> asked = new ArrayList<>(first.stream().limit(1).toList());
    Set<String> others = new HashSet<>(connected);
    asked.forEach(others::remove);
    for (String node : inTurn(new TreeSet<>(others))) {
      if (asked.size() < MAX_ASKED) {
        asked.add(node);
        lastAsked = node;
      }
    }
    return asked;
  }

  /** Returns nodes, beginning with the one after that which was asked last. */
  private List<String> inTurn(NavigableSet<String> nodes) {
    List<String> ordered = new ArrayList<>(nodes.tailSet(lastAsked, false));
    ordered.addAll(nodes.headSet(lastAsked, true));
    return ordered;
  }
}
