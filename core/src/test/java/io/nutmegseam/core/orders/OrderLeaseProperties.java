package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.platform.StorePosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Nodes compete for the order lease while they are cut off from the store, restart, and lose
 * responses, and while the store returns from older copies. Two nodes that send orders in turns
 * would overwrite each other's swaps.
 */
class OrderLeaseProperties {
  private static final OrderLease.Timing TIMING = new OrderLease.Timing(8_000, 1_000, 1_000, 3_300);

  /** Minimum time between the orders of two nodes, in milliseconds. */
  private static final long MIN_GAP_MILLIS = 3_000;

  private static final long STEP_MILLIS = 100;
  private static final long READ_INTERVAL_MILLIS = 500;
  private static final long RUN_MILLIS = 120_000;
  private static final int NODES = 3;

  @Property(tries = 400, seed = "4711", shrinking = ShrinkingMode.BOUNDED)
  void should_keep_the_orders_of_two_nodes_apart(@ForAll long seed) {
    Simulation simulation = new Simulation(seed);
    simulation.run();
    assertThat(simulation.smallestGapMillis).isGreaterThanOrEqualTo(MIN_GAP_MILLIS);
  }

  @Property(tries = 400, seed = "4711", shrinking = ShrinkingMode.BOUNDED)
  void should_never_order_with_a_lower_fence_than_before(@ForAll long seed) {
    Simulation simulation = new Simulation(seed);
    simulation.run();
    assertThat(simulation.fenceWentBack).isFalse();
  }

  @Property(tries = 100, seed = "4711", shrinking = ShrinkingMode.BOUNDED)
  void should_order_again_within_20_s_after_the_last_fault(@ForAll long seed) {
    Simulation simulation = new Simulation(seed);
    simulation.run();
    long lastFaultMillis = simulation.nowMillis;
    simulation.runWithoutFaults(20_000);
    assertThat(simulation.lastOrderMillis).isGreaterThan(lastFaultMillis);
  }

  /** The store's row, as it was at some time. */
  private record StoredRow(long atMillis, long counter, OrderLeaseRow row, long writtenInEra) {}

  private static final class Node {
    private final int index;
    private int processes;
    private OrderLease lease;
    private long cutOffUntilMillis;
    private long nextReadMillis;

    private Node(int index) {
      this.index = index;
      restart();
    }

    private void restart() {
      processes++;
      lease =
          OrderLease.unread(
              new OrderLease.Claimant(
                  "p" + index + "-" + processes, "n" + index, "10.0.0." + index + ":1"),
              TIMING);
    }
  }

  private static final class Simulation {
    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final List<StoredRow> history = new ArrayList<>();
    private long era = 1;
    private long nowMillis;
    private long lastOrderMillis = Long.MIN_VALUE / 2;
    private int lastOrderNode = -1;
    private long highestFence;
    private long smallestGapMillis = Long.MAX_VALUE;
    private boolean fenceWentBack;

    private Simulation(long seed) {
      random = new Random(seed);
      for (int i = 0; i < NODES; i++) {
        nodes.add(new Node(i));
      }
      history.add(new StoredRow(0, 0, OrderLeaseRow.ABSENT, era));
    }

    private void run() {
      while (nowMillis < RUN_MILLIS) {
        injectFaults();
        step();
      }
    }

    private void runWithoutFaults(long millis) {
      nodes.forEach(node -> node.cutOffUntilMillis = 0);
      long untilMillis = nowMillis + millis;
      while (nowMillis < untilMillis) {
        step();
      }
    }

    private void injectFaults() {
      Node node = nodes.get(random.nextInt(NODES));
      if (random.nextInt(80) == 0) {
        node.cutOffUntilMillis = nowMillis + random.nextInt(12_000);
      }
      if (random.nextInt(120) == 0) {
        node.restart();
      }
      if (random.nextInt(150) == 0) {
        restoreCopy(nowMillis - random.nextInt(6_000));
      }
    }

    private void restoreCopy(long copyMillis) {
      while (history.size() > 1 && current().atMillis() > copyMillis) {
        history.remove(history.size() - 1);
      }
      era++;
    }

    private StoredRow current() {
      return history.get(history.size() - 1);
    }

    private void step() {
      nowMillis += STEP_MILLIS;
      for (Node node : nodes) {
        if (nowMillis >= node.cutOffUntilMillis) {
          callStore(node);
        }
        if (node.lease.maySendOrders(nowMillis)) {
          onOrder(node);
        }
      }
    }

    private void callStore(Node node) {
      if (nowMillis >= node.nextReadMillis) {
        node.nextReadMillis = nowMillis + READ_INTERVAL_MILLIS;
        node.lease = node.lease.observe(read(), nowMillis);
      }
      if (node.lease.next(nowMillis) != OrderLease.Step.WAIT) {
        write(node, random.nextInt(400) == 0);
      }
    }

    private OrderLeaseRow read() {
      StoredRow stored = current();
      OrderLeaseRow row = stored.row();
      if (row.holder().isEmpty()) {
        return era > 1 ? OrderLeaseRow.LOST : OrderLeaseRow.ABSENT;
      }
      return new OrderLeaseRow(
          StorePosition.of(era, stored.counter()),
          row.holder(),
          row.node(),
          row.peerAddress(),
          row.released(),
          row.handoverMillis(),
          stored.writtenInEra() < era);
    }

    private void write(Node node, boolean released) {
      boolean responseLost = random.nextInt(6) == 0;
      if (node.lease.expectedVersion() == read().version()) {
        OrderLeaseRow written =
            new OrderLeaseRow(
                StorePosition.of(era, current().counter() + 1),
                "p" + node.index + "-" + node.processes,
                "n" + node.index,
                "10.0.0." + node.index + ":1",
                released,
                node.lease.handoverMillis(nowMillis),
                false);
        history.add(new StoredRow(nowMillis, current().counter() + 1, written, era));
        if (released) {
          node.restart();
        } else if (!responseLost) {
          node.lease = node.lease.afterWrite(written, nowMillis, nowMillis);
        }
      } else {
        node.nextReadMillis = nowMillis;
      }
    }

    private void onOrder(Node node) {
      long fence = node.lease.tenure().orElseThrow().fence();
      fenceWentBack |= fence < highestFence;
      highestFence = Math.max(highestFence, fence);
      if (lastOrderNode >= 0 && lastOrderNode != node.index) {
        smallestGapMillis = Math.min(smallestGapMillis, nowMillis - lastOrderMillis);
      }
      lastOrderNode = node.index;
      lastOrderMillis = nowMillis;
    }
  }
}
