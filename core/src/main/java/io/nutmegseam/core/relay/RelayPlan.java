package io.nutmegseam.core.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Recipients of an update that all nodes need. To each other data centre it is sent once, to the
 * relay, which forwards it there; bytes between data centres are scarcer than those within one.
 */
public final class RelayPlan {
  /** With fewer nodes, a relay saves less than its additional hop costs. */
  private static final int MIN_FORWARDING_NODES = 3;

  private final Map<String, Boolean> forwardByRecipient;

  /**
   * A connected node.
   *
   * @param node name of the node
   * @param dataCentre its data centre
   * @param power its processor power; the most powerful node of a data centre is connected to the
   *     others there and becomes the relay
   * @param forwards whether it forwards updates
   * @param wantsDirect whether it has received no update for a while, so that it is sent them
   *     directly
   */
  public record Peer(
      String node, String dataCentre, double power, boolean forwards, boolean wantsDirect) {}

  private RelayPlan(Map<String, Boolean> forwardByRecipient) {
    this.forwardByRecipient = forwardByRecipient;
  }

  /**
   * Plans the recipients of an update.
   *
   * @param dataCentre data centre of the sender, whose nodes are sent the update directly
   * @param peers the nodes that are connected to the sender
   */
  public static RelayPlan of(String dataCentre, Collection<Peer> peers) {
    Map<String, List<Peer>> peersByDataCentre = new TreeMap<>();
    for (Peer peer : peers) {
      peersByDataCentre.computeIfAbsent(peer.dataCentre(), d -> new ArrayList<>()).add(peer);
    }
    Map<String, Boolean> forwardByRecipient = new HashMap<>();
    peersByDataCentre.forEach(
        (other, members) -> addRecipients(forwardByRecipient, members, other.equals(dataCentre)));
    return new RelayPlan(Map.copyOf(forwardByRecipient));
  }

  private static void addRecipients(
      Map<String, Boolean> forwardByRecipient, List<Peer> members, boolean local) {
    // A node that misses updates itself does not forward any.
    List<Peer> relays = members.stream().filter(p -> p.forwards() && !p.wantsDirect()).toList();
    boolean relayed = !local && relays.size() >= MIN_FORWARDING_NODES;
    for (Peer member : members) {
      if (!relayed || !member.forwards() || member.wantsDirect()) {
        forwardByRecipient.put(member.node(), false);
      }
    }
    if (relayed) {
      relays.stream()
          .max(
              Comparator.comparingDouble(Peer::power)
                  .thenComparing(Peer::node, Comparator.reverseOrder()))
          .ifPresent(relay -> forwardByRecipient.put(relay.node(), true));
    }
  }

  /** Returns the nodes to send the update to, with whether each forwards it. */
  public Map<String, Boolean> forwardByRecipient() {
    return forwardByRecipient;
  }
}
