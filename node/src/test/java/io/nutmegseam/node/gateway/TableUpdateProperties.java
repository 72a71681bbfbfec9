package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.rows.PollTiming;
import io.nutmegseam.node.rows.RowFormat;
import io.nutmegseam.node.rows.RowStore;
import io.nutmegseam.node.rows.TableUpdate;
import io.nutmegseam.node.rows.TableWatcher;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Nodes of a data centre read one table and forward what they read, while messages are lost,
 * delayed and reordered, and nodes are paused at any step.
 */
class TableUpdateProperties {
  private static final PollTiming TIMING = new PollTiming(0, 500, 1_200);

  /** Nodes of later ranks are connected to these only. */
  private static final int FOLLOWED_NODES = 4;

  private static final int NODES = 10;
  private static final int SERVERS = 4;
  private static final long STEP_MILLIS = 50;

  /** Longest pause of a node, in steps. */
  private static final int MAX_PAUSE_STEPS = 60;

  /** Steps without new changes and faults, after which all nodes know all changes. */
  private static final int CALM_STEPS = 120;

  /**
   * Guards against nodes that skip a change since it was left out of an update whose version they
   * took over: what a node knows is what the table held at the version of the node.
   */
  @Property(tries = 300)
  void should_have_applied_every_change_up_to_the_version(
      @ForAll long seed,
      @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 99) Integer> steps) {
    Simulation simulation = new Simulation(new Random(seed));
    steps.forEach(simulation::step);
    simulation.checkNodes();
    for (int i = 0; i < CALM_STEPS; i++) {
      simulation.calmStep();
    }
    simulation.checkAllChangesKnown();
  }

  /** What a server says of itself. */
  private record Content(boolean draining, String model) {}

  private static final class Simulation {
    private final Random random;
    private final TestClock clock = new TestClock();
    private final List<Node> nodes = new ArrayList<>();
    private final List<Delivery> deliveries = new ArrayList<>();

    /** Rows of the table, and all versions of it. */
    private final Map<String, Row> rowByKey = new TreeMap<>();

    private final Map<String, Content> contentByKey = new TreeMap<>();
    private final Map<String, Long> changedByKey = new TreeMap<>();
    private final Map<Long, Map<String, Content>> contentsByVersion = new HashMap<>();
    private long version = 1;
    private long step;

    private record Delivery(long atStep, Node node, Runnable action) {}

    private Simulation(Random random) {
      this.random = random;
      for (int i = 0; i < SERVERS; i++) {
        write("s" + i, new Content(false, "a"));
      }
      for (int rank = 0; rank < NODES; rank++) {
        nodes.add(new Node(this, rank));
      }
      for (int i = 0; i < 20; i++) {
        calmStep();
      }
    }

    private void step(int action) {
      String key = "s" + random.nextInt(SERVERS);
      Content content = contentByKey.getOrDefault(key, new Content(false, "a"));
      if (action < 10) {
        write(key, new Content(!content.draining(), content.model()));
      } else if (action < 15) {
        write(key, new Content(content.draining(), content.model().equals("a") ? "b" : "a"));
      } else if (action < 20) {
        remove(key);
      } else if (action < 35) {
        Node node = nodes.get(random.nextInt(1 + random.nextInt(NODES)));
        node.pausedUntilStep = step + 1 + random.nextInt(MAX_PAUSE_STEPS);
      }
      advance(true);
    }

    private void calmStep() {
      advance(false);
    }

    /** All servers write their entries again from time to time, mostly without a change. */
    private void advance(boolean faults) {
      step++;
      clock.advance(STEP_MILLIS);
      for (String key : List.copyOf(contentByKey.keySet())) {
        if (random.nextInt(4) == 0) {
          write(key, contentByKey.get(key));
        }
      }
      for (Node node : nodes) {
        if (!faults) {
          node.pausedUntilStep = 0;
        }
        if (!node.isPaused()) {
          node.watcher.tick();
        }
      }
      List<Delivery> due =
          deliveries.stream()
              .filter(delivery -> delivery.atStep() <= step && !delivery.node().isPaused())
              .toList();
      deliveries.removeAll(due);
      due.forEach(delivery -> delivery.action().run());
    }

    private void write(String key, Content content) {
      version++;
      rowByKey.put(key, new Row(key, content.draining() + " " + content.model(), version));
      contentByKey.put(key, content);
      changedByKey.put(key, version);
      contentsByVersion.put(version, Map.copyOf(contentByKey));
    }

    private void remove(String key) {
      version++;
      rowByKey.remove(key);
      contentByKey.remove(key);
      changedByKey.put(key, version);
      contentsByVersion.put(version, Map.copyOf(contentByKey));
    }

    /** Delivers in order after few steps, or late and out of order. */
    private void send(Node receiver, Runnable action) {
      int delaySteps = random.nextInt(8) == 0 ? random.nextInt(40) : random.nextInt(2);
      deliveries.add(new Delivery(step + delaySteps, receiver, action));
    }

    private void forward(Node sender, TableUpdate<ServerEntry> update) {
      for (Node receiver : nodes) {
        boolean connected =
            receiver != sender && Math.min(receiver.rank, sender.rank) < FOLLOWED_NODES;
        if (connected && random.nextInt(10) != 0) {
          send(receiver, () -> receiver.onUpdate(sender, update));
        }
      }
    }

    private void checkNodes() {
      nodes.forEach(Node::check);
    }

    private void checkAllChangesKnown() {
      nodes.forEach(node -> assertThat(node.contents()).isEqualTo(contentByKey));
    }
  }

  /** A node with its watcher, and the store as it sees it. */
  private static final class Node implements RowStore {
    private final Simulation simulation;
    private final int rank;
    private final GatewayState state = new GatewayState();
    private final TableWatcher<ServerEntry> watcher;
    private long appliedVersion;
    private long pausedUntilStep;

    private Node(Simulation simulation, int rank) {
      this.simulation = simulation;
      this.rank = rank;
      FleetControl fleet =
          new FleetControl(
              state,
              new RowDecoders("config", "config", "servers", null, Node::decode),
              simulation.clock,
              (kind, subject, detail) -> {},
              () -> {});
      this.watcher =
          new TableWatcher<>(
              new TableWatcher.Source(this, "servers"),
              TIMING,
              RowFormat.servers(fleet::decodeServer),
              update -> {
                fleet.onServers(update);
                appliedVersion = update.version();
                check();
              },
              (table, update) -> simulation.forward(this, update),
              new TableWatcher.Context(
                  Runnable::run,
                  simulation.clock,
                  (kind, subject, detail) -> {},
                  simulation.random));
    }

    private boolean isPaused() {
      return simulation.step < pausedUntilStep;
    }

    private void onUpdate(Node sender, TableUpdate<ServerEntry> update) {
      watcher.onUpdate(update, sender.rank < rank && sender.rank < FOLLOWED_NODES);
    }

    private void check() {
      if (appliedVersion > 0) {
        assertThat(contents())
            .as("node %d at version %d", rank, appliedVersion)
            .isEqualTo(simulation.contentsByVersion.get(appliedVersion));
      }
    }

    private Map<String, Content> contents() {
      return state.fleet().entries().stream()
          .collect(
              Collectors.toMap(
                  entry -> entry.incarnation().id(),
                  entry ->
                      new Content(
                          entry.softwareVersion().equals("true"),
                          entry.inventory().adaptersByModel().keySet().iterator().next())));
    }

    /** Draining is kept once it is seen, so the test has it as the software version. */
    private static ServerEntry decode(Row row) {
      String[] parts = row.value().split(" ", -1);
      return new ServerEntry(
          new Incarnation(row.key(), 1),
          "s",
          parts[0],
          "127.0.0.1",
          row.key().charAt(1),
          "dc",
          4,
          false,
          new Inventory(0, false, Map.of(parts[1], Set.of()), Set.of(), Set.of()));
    }

    @Override
    public CompletableFuture<ReadResult> readAll(String table) {
      CompletableFuture<ReadResult> result = new CompletableFuture<>();
      ReadResult rows =
          new ReadResult(List.copyOf(simulation.rowByKey.values()), List.of(), simulation.version);
      simulation.send(this, () -> result.complete(rows));
      return result;
    }

    @Override
    public CompletableFuture<Optional<ReadResult>> readChanges(
        String table, long afterVersion, long waitMillis) {
      List<Row> rows = new ArrayList<>();
      List<String> removed = new ArrayList<>();
      simulation.changedByKey.forEach(
          (key, changedVersion) -> {
            Row row = simulation.rowByKey.get(key);
            if (changedVersion > afterVersion && row != null) {
              rows.add(row);
            } else if (changedVersion > afterVersion) {
              removed.add(key);
            }
          });
      CompletableFuture<Optional<ReadResult>> result = new CompletableFuture<>();
      ReadResult changes = new ReadResult(rows, removed, simulation.version);
      simulation.send(this, () -> result.complete(Optional.of(changes)));
      return result;
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String table, String key) {
      throw new UnsupportedOperationException(key);
    }

    @Override
    public CompletableFuture<Optional<Long>> write(
        String table, String key, long expectedVersion, String value) {
      throw new UnsupportedOperationException(key);
    }
  }
}
