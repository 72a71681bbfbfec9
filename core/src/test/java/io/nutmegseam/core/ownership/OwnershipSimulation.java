package io.nutmegseam.core.ownership;

import io.nutmegseam.core.backend.Inventory;
import io.nutmegseam.core.backend.Inventory.Item;
import io.nutmegseam.core.backend.Inventory.ItemState;
import io.nutmegseam.core.lease.HolderStatus;
import io.nutmegseam.core.memory.MemoryLedger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Simulates one backend server, its row, its engine and two nodes that run the production state
 * machine. Each step is one random event: messages are delayed, lost or reordered, and nodes pause
 * and restart.
 */
final class OwnershipSimulation {
  static final long CAPACITY_BYTES = 10;
  private static final long UNIT_BYTES = 6;
  private static final long SETTLE_MILLIS = 50;
  private static final long LEASE_MILLIS = 30;
  private static final int STEP_MILLIS = 5;

  private final Random random;
  private final boolean checksFencing;
  private final boolean engineChecksFencing;
  private final TakeoverRule takeover;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Runnable> inFlight = new ArrayList<>();
  private final Map<String, Long> loaded = new LinkedHashMap<>();
  private final List<String> trace = new ArrayList<>();
  private ServerRow row = ServerRow.unowned();
  private long version;
  private long fence;
  private long nowMillis = 1_000;
  private long peakBytes;
  private int unwrittenEpochs;
  private int unclaimedOrders;

  private static final class Node {
    private final String name;
    private int incarnation;
    private ServerOwnership state;
    private MemoryLedger ledger = MemoryLedger.of(CAPACITY_BYTES);
    private boolean inventoryRead;
    private long renewedAtMillis;
    private int ordersInFlight;

    private Node(String name) {
      this.name = name;
    }

    private String id() {
      return name + "#" + incarnation;
    }
  }

  OwnershipSimulation(
      long seed, boolean checksFencing, boolean engineChecksFencing, TakeoverRule takeover) {
    this.random = new Random(seed);
    this.checksFencing = checksFencing;
    this.engineChecksFencing = engineChecksFencing;
    this.takeover = takeover;
    for (String name : List.of("a", "b")) {
      Node node = new Node(name);
      start(node);
      nodes.add(node);
    }
  }

  long peakBytes() {
    return peakBytes;
  }

  /** Returns how often a claim or an order had an epoch that was never written. */
  int unwrittenEpochs() {
    return unwrittenEpochs;
  }

  /** Returns how often a node sent an order with an epoch that the engine had not confirmed. */
  int unclaimedOrders() {
    return unclaimedOrders;
  }

  List<String> trace() {
    return trace;
  }

  void run(int steps) {
    for (int i = 0; i < steps; i++) {
      nowMillis += STEP_MILLIS;
      step();
    }
  }

  private void step() {
    Node node = nodes.get(random.nextInt(nodes.size()));
    switch (random.nextInt(12)) {
      case 0, 1, 2 -> {
        if (!inFlight.isEmpty()) {
          inFlight.remove(random.nextInt(inFlight.size())).run();
        }
      }
      case 3, 4 -> review(node);
      case 5, 6 -> handle(node, new OwnershipEvent.RowSeen(row, version, nowMillis));
      case 7 -> readInventory(node);
      case 8, 9 -> order(node);
      case 10 -> node.renewedAtMillis = nowMillis;
      default -> {
        if (random.nextInt(6) == 0) {
          start(node);
        }
      }
    }
  }

  /** Replaces the node's process by a new one; orders of the old process stay in flight. */
  private void start(Node node) {
    node.incarnation++;
    node.state = ServerOwnership.watching(node.name, node.id(), checksFencing, SETTLE_MILLIS);
    node.inventoryRead = false;
    node.ledger = MemoryLedger.of(CAPACITY_BYTES);
    node.ordersInFlight = 0;
    node.renewedAtMillis = nowMillis;
    trace.add(nowMillis + " start " + node.id());
  }

  private void review(Node node) {
    boolean preferred = random.nextInt(4) != 0;
    handle(
        node,
        new OwnershipEvent.Review(preferred, holder(node), node.ordersInFlight > 0, nowMillis));
  }

  private HolderStatus holder(Node observer) {
    if (row.owner().isEmpty()) {
      return HolderStatus.NONE;
    }
    Node holder = row.owner().equals("a") ? nodes.get(0) : nodes.get(1);
    if (!holder.id().equals(row.incarnation())) {
      return HolderStatus.REPLACED;
    }
    if (holder == observer) {
      return HolderStatus.SELF;
    }
    boolean lapsed = nowMillis - holder.renewedAtMillis > LEASE_MILLIS;
    return lapsed ? HolderStatus.LAPSED : HolderStatus.LIVE;
  }

  private void handle(Node node, OwnershipEvent event) {
    String before = node.state.phase().name();
    ServerOwnership.Transition transition = node.state.apply(event, takeover);
    node.state = transition.next();
    if (!before.equals(node.state.phase().name())) {
      trace.add(nowMillis + " " + node.id() + " " + before + " -> " + node.state.phase());
    }
    transition.actions().forEach(action -> execute(node, action));
  }

  private void execute(Node node, OwnershipAction action) {
    String id = node.id();
    if (action instanceof OwnershipAction.WriteRow write) {
      inFlight.add(() -> writeRow(node, id, write));
    } else if (action instanceof OwnershipAction.ClaimEngine claim) {
      inFlight.add(() -> claim(node, id, claim.epoch()));
    } else if (action instanceof OwnershipAction.BecomeOwner) {
      node.inventoryRead = false;
      node.ledger = MemoryLedger.of(CAPACITY_BYTES);
    }
  }

  private void writeRow(Node node, String id, OwnershipAction.WriteRow write) {
    boolean applies = version == write.expectedVersion();
    if (applies) {
      row = write.row();
      version++;
    }
    OwnershipEvent outcome = outcome(applies, write.row(), version);
    // The row may be read, and written by another node, before the response arrives.
    inFlight.add(
        () -> {
          if (node.id().equals(id)) {
            handle(node, outcome);
          }
        });
  }

  private OwnershipEvent outcome(boolean applied, ServerRow written, long writtenVersion) {
    if (random.nextInt(4) == 0) {
      return new OwnershipEvent.WriteUnknown();
    }
    return applied
        ? new OwnershipEvent.WriteConfirmed(written, writtenVersion, nowMillis)
        : new OwnershipEvent.WriteConflicted();
  }

  private void claim(Node node, String id, long epoch) {
    boolean accepted = acceptsEpoch(epoch);
    boolean lost = random.nextInt(5) == 0;
    inFlight.add(
        () -> {
          if (node.id().equals(id) && !lost) {
            handle(
                node,
                accepted
                    ? new OwnershipEvent.EngineClaimed(epoch)
                    : new OwnershipEvent.EngineFenced(epoch));
          }
        });
  }

  private boolean acceptsEpoch(long epoch) {
    if (epoch > row.epoch()) {
      unwrittenEpochs++;
      trace.add(nowMillis + " epoch " + epoch + " used, row has " + row.epoch());
    }
    if (engineChecksFencing && epoch < fence) {
      return false;
    }
    fence = Math.max(fence, epoch);
    return true;
  }

  private void readInventory(Node node) {
    List<Item> items = new ArrayList<>();
    loaded.forEach((unit, bytes) -> items.add(new Item(unit, ItemState.LOADED, bytes)));
    Inventory inventory = new Inventory("engine", fence, false, items, Set.of());
    node.ledger = node.ledger.reconcile(inventory, nowMillis, SETTLE_MILLIS);
    node.inventoryRead = true;
  }

  private void order(Node node) {
    if (!node.state.maySendOrders() || !node.inventoryRead) {
      return;
    }
    String unit = random.nextBoolean() ? "m1" : "m2";
    long epoch = node.state.row().epoch();
    String id = node.id();
    unclaimedOrders += checksFencing && fence < epoch ? 1 : 0;
    if (node.ledger.entry(unit).isPresent()) {
      node.ledger = node.ledger.markUnloading(unit, nowMillis);
      send(node, id, epoch, () -> loaded.remove(unit));
    } else {
      node.ledger
          .reserve(unit, UNIT_BYTES, nowMillis)
          .ifPresent(
              reserved -> {
                node.ledger = reserved;
                send(node, id, epoch, () -> load(unit));
              });
    }
  }

  /** Sends an order, which arrives or is lost within the settle time. */
  private void send(Node node, String id, long epoch, Runnable effect) {
    node.ordersInFlight++;
    long lostAtMillis = nowMillis + SETTLE_MILLIS;
    trace.add(nowMillis + " order of " + id + " epoch " + epoch);
    inFlight.add(
        () -> {
          if (node.id().equals(id)) {
            node.ordersInFlight--;
          }
          if (nowMillis < lostAtMillis && random.nextInt(8) != 0 && acceptsEpoch(epoch)) {
            effect.run();
          }
        });
  }

  private void load(String unit) {
    loaded.put(unit, UNIT_BYTES);
    long used = loaded.values().stream().mapToLong(Long::longValue).sum();
    peakBytes = Math.max(peakBytes, used);
    trace.add(nowMillis + " loaded " + loaded.keySet());
  }
}
