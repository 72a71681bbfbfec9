package io.nutmegseam.node.allotment;

import io.nutmegseam.core.allotment.AllotmentRules;
import io.nutmegseam.core.routing.RendezvousHash;
import io.nutmegseam.node.rows.NodeRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The nodes that may grant for each group, in the order in which a node tries them: a few that are
 * the same at all nodes, then a few of the node's data centre, which may be cut off from the
 * others, and the node itself.
 */
final class GrantingNodes {
  private static final int COMMON_CANDIDATES = 3;
  private static final int LOCAL_CANDIDATES = 2;

  private GrantingNodes() {}

  /** Returns the order of each group. No node is the first of two groups, for the load on it. */
  static List<List<NodeRecord>> orders(
      String self, String dataCentre, List<NodeRecord> nodes, AllotmentRules rules) {
    int groups = rules.groups(nodes.size());
    Set<String> taken = new HashSet<>();
    List<List<NodeRecord>> orders = new ArrayList<>();
    for (int group = 0; group < groups; group++) {
      List<NodeRecord> ranked = ranked(group, nodes);
      List<NodeRecord> order = new ArrayList<>();
      ranked.stream()
          .filter(record -> !taken.contains(record.node()))
          .limit(COMMON_CANDIDATES)
          .forEach(order::add);
      taken.add(order.get(0).node());
      ranked.stream()
          .filter(record -> record.dataCentre().equals(dataCentre) && !order.contains(record))
          .limit(LOCAL_CANDIDATES)
          .toList()
          .forEach(order::add);
      ranked.stream()
          .filter(record -> record.node().equals(self) && !order.contains(record))
          .toList()
          .forEach(order::add);
      orders.add(order);
    }
    return orders;
  }

  private static List<NodeRecord> ranked(int group, List<NodeRecord> nodes) {
    return nodes.stream()
        .sorted(
            Comparator.comparing(NodeRecord::power)
                .reversed()
                .thenComparing(
                    record -> -RendezvousHash.weight("allotments " + group, record.node()))
                .thenComparing(NodeRecord::node))
        .toList();
  }
}
