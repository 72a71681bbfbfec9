package io.nutmegseam.node.crash;

import io.nutmegseam.core.crash.CrashReport;
import io.nutmegseam.core.crash.CrashView;
import io.nutmegseam.core.crash.Fingerprint;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/** Nodes that share crashes over simulated connections and a store, in simulated time. */
final class CrashNetwork {
  private static final long LATENCY_MILLIS = 5;
  private static final long TICK_MILLIS = 50;
  private static final long READ_MILLIS = 500;
  private static final int NEIGHBOURS = 4;

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparing(Task::order));
  private final Map<String, Node> nodeByName = new TreeMap<>();
  private final Set<String> cutDataCentres = new HashSet<>();
  private final Random random;
  private Optional<Row> row = Optional.empty();
  private long rowVersion = 1;
  private boolean storeAvailable = true;
  private Predicate<String> isListed = process -> false;
  private long nowMillis;
  private long order;
  private long frames;
  private long bytes;
  private int writes;
  private int trials;

  private record Task(long atMillis, long order, Runnable action) {}

  /** A node of a data centre; a restarted one has lost what it knew. */
  private final class Node implements PeerTransport {
    private final String name;
    private final String dataCentre;
    private final Set<String> neighbours = new HashSet<>();
    private final Set<Fingerprint> recentRuns = new HashSet<>();
    private CrashControl control;
    private CrashView view;
    private long startedMillis;
    private int incarnation;
    private boolean running;

    private Node(String name, String dataCentre) {
      this.name = name;
      this.dataCentre = dataCentre;
    }

    private void start() {
      incarnation++;
      running = true;
      startedMillis = nowMillis;
      recentRuns.clear();
      view = CrashView.EMPTY;
      control =
          new CrashControl(
              this,
              () -> Instant.ofEpochMilli(nowMillis),
              () -> Instant.ofEpochMilli(nowMillis),
              new VerdictStore(
                  this::write,
                  Runnable::run,
                  () -> Instant.ofEpochMilli(nowMillis),
                  random,
                  (kind, subject, detail) -> {}),
              new CrashControl.Sink(
                  next -> view = next, this::onReport, (fingerprint, software) -> trials++),
              (kind, subject, detail) -> {});
      int current = incarnation;
      repeat(current, TICK_MILLIS, () -> control.tick(isListed));
      repeat(current, READ_MILLIS, this::readRow);
    }

    /** Reports the suspects that ran to their end at this node, as the traffic thread would. */
    private void onReport(CrashReport report) {
      int current = incarnation;
      schedule(
          1,
          () -> {
            Set<Fingerprint> acquitted = new HashSet<>(report.suspects().keySet());
            acquitted.retainAll(recentRuns);
            if (running && incarnation == current && !acquitted.isEmpty()) {
              control.onSuccess(report.software(), acquitted);
            }
          });
    }

    private void repeat(int current, long intervalMillis, Runnable action) {
      schedule(
          random.nextLong(intervalMillis) + 1,
          () -> {
            if (running && incarnation == current) {
              action.run();
              repeat(current, intervalMillis, action);
            }
          });
    }

    private void readRow() {
      if (storeAvailable) {
        control.onRows(row.stream().toList(), true);
      }
    }

    private CompletableFuture<Optional<Long>> write(
        String key, long expectedVersion, String value) {
      if (!storeAvailable) {
        return CompletableFuture.failedFuture(new IllegalStateException("store is down"));
      }
      writes++;
      if (row.map(Row::version).orElse(0L) != expectedVersion) {
        return CompletableFuture.completedFuture(Optional.empty());
      }
      rowVersion++;
      row = Optional.of(new Row(key, value, rowVersion));
      return CompletableFuture.completedFuture(Optional.of(rowVersion));
    }

    @Override
    public boolean send(String node, PeerFrame.Builder frame) {
      if (!connectedNodes().contains(node)) {
        return false;
      }
      PeerFrame sent = frame.build();
      frames++;
      bytes += sent.getSerializedSize();
      Node receiver = nodeByName.get(node);
      int current = receiver.incarnation;
      schedule(
          LATENCY_MILLIS,
          () -> {
            if (receiver.running && receiver.incarnation == current) {
              receiver.control.onNews(name, sent.getCrashNews());
            }
          });
      return true;
    }

    @Override
    public Set<String> connectedNodes() {
      Set<String> connected = new HashSet<>();
      for (String neighbour : neighbours) {
        Node node = nodeByName.get(neighbour);
        boolean cut = !node.dataCentre.equals(dataCentre) && cutDataCentres.contains(dataCentre);
        boolean otherCut =
            !node.dataCentre.equals(dataCentre) && cutDataCentres.contains(node.dataCentre);
        if (node.running && !cut && !otherCut) {
          connected.add(neighbour);
        }
      }
      return connected;
    }
  }

  CrashNetwork(long seed) {
    random = new Random(seed);
  }

  /** Adds and starts nodes, each connected to a few others of its data centre and one elsewhere. */
  void addNodes(String dataCentre, int count) {
    List<String> others = new ArrayList<>(nodeByName.keySet());
    List<String> added = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Node node = new Node(dataCentre + "-" + i, dataCentre);
      nodeByName.put(node.name, node);
      List<String> earlier = new ArrayList<>(added);
      Collections.shuffle(earlier, random);
      earlier.stream().limit(NEIGHBOURS).forEach(other -> connect(node.name, other));
      if (!others.isEmpty()) {
        connect(node.name, others.get(random.nextInt(others.size())));
      }
      added.add(node.name);
    }
    added.forEach(name -> nodeByName.get(name).start());
  }

  private void connect(String one, String other) {
    nodeByName.get(one).neighbours.add(other);
    nodeByName.get(other).neighbours.add(one);
  }

  Set<String> nodes() {
    return nodeByName.keySet();
  }

  void cut(String dataCentre) {
    cutDataCentres.add(dataCentre);
  }

  void heal() {
    cutDataCentres.clear();
  }

  void kill(String node) {
    nodeByName.get(node).running = false;
  }

  void restart(String node) {
    kill(node);
    nodeByName.get(node).start();
  }

  void setStoreAvailable(boolean available) {
    storeAvailable = available;
  }

  /** Replaces the store by an earlier copy without the row. */
  void loseRow() {
    row = Optional.empty();
  }

  void setListed(Predicate<String> listed) {
    isListed = listed;
  }

  /** Crashes a server while it runs the suspects for a node, the most specific one last. */
  void crash(String node, String process, String... suspects) {
    Map<Fingerprint, Integer> fingerprints = new HashMap<>();
    for (int i = 0; i < suspects.length; i++) {
      fingerprints.put(id(suspects[i]), i);
    }
    nodeByName
        .get(node)
        .control
        .onCrash(new CrashReport(process, "s v1", fingerprints), "connection refused");
  }

  void succeed(String node, String suspect) {
    nodeByName.get(node).recentRuns.add(id(suspect));
    nodeByName.get(node).control.onSuccess("s v1", Set.of(id(suspect)));
  }

  boolean isRunning(String node) {
    return nodeByName.get(node).running;
  }

  /** Returns for how long a node has run without a break, in milliseconds. */
  long upMillis(String node) {
    return nowMillis - nodeByName.get(node).startedMillis;
  }

  boolean isRefused(String node, String suspect) {
    return nodeByName.get(node).view.condemned().containsKey(id(suspect));
  }

  long nowMillis() {
    return nowMillis;
  }

  void refuse(String node, String suspect) {
    nodeByName.get(node).control.onRefusal(id(suspect), Set.of("s v1"));
  }

  /** Refuses a request at a node while servers of another version are there. */
  void refuseBesideOtherVersion(String node, String suspect, String software) {
    nodeByName.get(node).control.onRefusal(id(suspect), Set.of("s v1", software));
  }

  /** Returns how often a node was permitted to try a request on other software. */
  int trials() {
    return trials;
  }

  /** Returns the running nodes that refuse requests with a fingerprint. */
  List<String> refusingNodes(String suspect) {
    return nodeByName.values().stream()
        .filter(node -> node.running && node.view.condemned().containsKey(id(suspect)))
        .map(node -> node.name)
        .toList();
  }

  long frames() {
    return frames;
  }

  long bytes() {
    return bytes;
  }

  int writes() {
    return writes;
  }

  void advance(long millis) {
    long untilMillis = nowMillis + millis;
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= untilMillis) {
      Task task = tasks.poll();
      nowMillis = task.atMillis();
      task.action().run();
    }
    nowMillis = untilMillis;
  }

  private void schedule(long delayMillis, Runnable action) {
    order++;
    tasks.add(new Task(nowMillis + delayMillis, order, action));
  }

  private static Fingerprint id(String name) {
    return Fingerprint.builder().add(name).build();
  }
}
