package io.nutmegseam.node.quota;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.quota.ServerLimits;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.settings.HostPort;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/** Nodes that keep the limit of a server over simulated connections, in simulated time. */
final class QuotaNetwork {
  private static final long LATENCY_MILLIS = 2;
  private static final int SLOTS = 8;
  private static final long IN_TOUCH_MILLIS = 3_000;
  private static final int NEIGHBOURS = 4;

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparing(Task::order));
  private final Map<String, Node> nodeByName = new TreeMap<>();
  private final Set<String> cutDataCentres = new HashSet<>();
  private final ArrivalLog arrivals = new ArrivalLog();
  private final Random random;
  private final ServerEntry server;
  private ServerLimits limits = ServerLimits.NONE;
  private int places = Integer.MAX_VALUE;
  private long runMillis = 20;
  private long nowMillis;
  private long order;
  private long frames;
  private long bytes;

  private record Task(long atMillis, long order, Runnable action) {}

  private final class Node implements PeerTransport {
    private final NodeRecord record;
    private final Set<String> neighbours = new HashSet<>();
    private SendQuotas quotas;
    private boolean running;
    private boolean frozen;
    private int incarnation;
    private long disturbedMillis = Long.MIN_VALUE / 2;
    private long toldMillis = Long.MAX_VALUE / 2;
    private double requestsPerSecond;
    private boolean hasAlternative;
    private int inFlight;
    private int sent;
    private int denied;

    private Node(NodeRecord record) {
      this.record = record;
    }

    private void start() {
      incarnation++;
      running = true;
      inFlight = 0;
      toldMillis = Long.MAX_VALUE / 2;
      int current = incarnation;
      quotas =
          new SendQuotas(
              new SendQuotas.Dependencies(
                  record.node(),
                  this,
                  this::connect,
                  () -> Instant.ofEpochMilli(nowMillis),
                  (delayMillis, task) ->
                      schedule(delayMillis, () -> runUnlessFrozen(current, task)),
                  process -> true,
                  incarnationOfServer -> inFlight,
                  next -> {},
                  (kind, subject, detail) -> {}));
      quotas.setNodes(nodeByName.values().stream().map(node -> node.record).toList());
      scheduleRequest(current);
    }

    /** Runs a task of this process, or waits until the process is no longer frozen. */
    private void runUnlessFrozen(int current, Runnable task) {
      if (incarnation != current || !running) {
        return;
      }
      if (frozen) {
        schedule(10, () -> runUnlessFrozen(current, task));
      } else {
        task.run();
      }
    }

    private void connect(HostPort address) {
      Node other =
          nodeByName.values().stream()
              .filter(node -> node.record.peerAddress().equals(address))
              .findFirst()
              .orElseThrow();
      schedule(
          2 * LATENCY_MILLIS,
          () -> {
            if (other.running && !isCut(this, other)) {
              neighbours.add(other.record.node());
              other.neighbours.add(record.node());
            }
          });
    }

    private void scheduleRequest(int current) {
      if (requestsPerSecond > 0) {
        long gapMillis =
            Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond));
        schedule(
            gapMillis,
            () -> {
              runUnlessFrozen(current, this::request);
              if (incarnation == current) {
                scheduleRequest(current);
              }
            });
      }
    }

    private void request() {
      long maxWaitMillis = hasAlternative ? 0 : 300;
      long exhaustedMillis = quotas.exhaustedMillis(server.incarnation(), hasAlternative);
      if (exhaustedMillis > maxWaitMillis) {
        denied++;
        return;
      }
      int current = incarnation;
      quotas.acquire(
          server,
          new SendQuotas.Terms(maxWaitMillis, hasAlternative),
          new SendPermit.Listener() {
            @Override
            public void onGranted() {
              send(current);
            }

            @Override
            public void onDenied() {
              denied++;
            }
          });
    }

    private void send(int current) {
      sent++;
      inFlight++;
      long sentMillis = nowMillis;
      schedule(
          LATENCY_MILLIS,
          () -> {
            boolean told = toldMillis <= nowMillis - 500;
            boolean cut = cutDataCentres.contains(record.dataCentre());
            boolean inTouch = !cut && nowMillis - disturbedMillis >= IN_TOUCH_MILLIS;
            boolean rejected = places == 0;
            arrivals.add(new ArrivalLog.Arrival(nowMillis, told && inTouch, rejected));
            if (rejected) {
              respond(LATENCY_MILLIS, current, sentMillis, true);
            } else {
              places--;
              schedule(runMillis - LATENCY_MILLIS, () -> places++);
              respond(runMillis, current, sentMillis, false);
            }
          });
    }

    private void respond(long delayMillis, int current, long sentMillis, boolean rejected) {
      schedule(delayMillis, () -> runUnlessFrozen(current, () -> onEnd(sentMillis, rejected)));
    }

    private void onEnd(long sentMillis, boolean rejected) {
      inFlight--;
      if (!limits.isNone()) {
        toldMillis = Math.min(toldMillis, nowMillis);
      }
      quotas.onResponse(server.incarnation(), limits, sentMillis);
      quotas.onEnded(server);
      if (rejected) {
        quotas.onRejected(server);
      }
    }

    @Override
    public boolean send(String node, PeerFrame.Builder frame) {
      if (!connectedNodes().contains(node)) {
        return false;
      }
      PeerFrame message = frame.build();
      frames++;
      bytes += message.getSerializedSize();
      Node receiver = nodeByName.get(node);
      int current = receiver.incarnation;
      schedule(
          LATENCY_MILLIS,
          () ->
              receiver.runUnlessFrozen(
                  current, () -> receiver.quotas.onFrame(record.node(), message)));
      return true;
    }

    @Override
    public Set<String> connectedNodes() {
      Set<String> connected = new HashSet<>();
      for (String neighbour : neighbours) {
        Node node = nodeByName.get(neighbour);
        if (node.running && !isCut(this, node)) {
          connected.add(neighbour);
        }
      }
      return connected;
    }
  }

  QuotaNetwork(long seed, String serverDataCentre) {
    random = new Random(seed);
    server =
        new ServerEntry(
            new Incarnation("i1", 1),
            "s",
            "v1",
            "127.0.0.1",
            1,
            serverDataCentre,
            SLOTS,
            false,
            new Inventory(0, false, Map.of(), Set.of(), Set.of()));
  }

  /** Adds nodes, each connected to a few others of its data centre and one elsewhere. */
  void addNodes(String dataCentre, int count) {
    List<String> others = new ArrayList<>(nodeByName.keySet());
    List<String> added = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String name = dataCentre + "-" + i;
      HostPort address = new HostPort(name, 1);
      nodeByName.put(name, new Node(new NodeRecord(name, dataCentre, address, 1)));
      List<String> earlier = new ArrayList<>(added);
      Collections.shuffle(earlier, random);
      earlier.stream().limit(NEIGHBOURS).forEach(other -> link(name, other));
      if (!others.isEmpty()) {
        link(name, others.get(random.nextInt(others.size())));
      }
      added.add(name);
    }
  }

  private void link(String one, String other) {
    nodeByName.get(one).neighbours.add(other);
    nodeByName.get(other).neighbours.add(one);
  }

  void start() {
    nodeByName.values().forEach(Node::start);
  }

  /** Sets the requests of a node that are meant for the server. */
  void setDemand(String node, double requestsPerSecond, boolean hasAlternative) {
    Node target = nodeByName.get(node);
    boolean begins = target.requestsPerSecond == 0;
    target.requestsPerSecond = requestsPerSecond;
    target.hasAlternative = hasAlternative;
    if (begins && target.running) {
      target.scheduleRequest(target.incarnation);
    }
  }

  /** Has a node receive requests that are meant for the server, all at the same moment. */
  void request(String node, int requests) {
    for (int i = 0; i < requests; i++) {
      nodeByName.get(node).request();
    }
  }

  /** Makes the server name a limit in its responses, or none. */
  void setLimits(ServerLimits next) {
    limits = next;
  }

  /** Makes the server reject requests that it has no slot for, and run each for a time. */
  void restrictRoom(long nextRunMillis) {
    places = SLOTS;
    runMillis = nextRunMillis;
  }

  void kill(String node) {
    disturb(node);
    nodeByName.get(node).running = false;
  }

  void restart(String node) {
    kill(node);
    nodeByName.get(node).frozen = false;
    nodeByName.get(node).start();
  }

  void setFrozen(String node, boolean frozen) {
    disturb(node);
    nodeByName.get(node).frozen = frozen;
  }

  void setCut(String dataCentre, boolean cut) {
    if (cut) {
      cutDataCentres.add(dataCentre);
    } else {
      cutDataCentres.remove(dataCentre);
    }
    nodeByName.values().stream()
        .filter(node -> node.record.dataCentre().equals(dataCentre))
        .forEach(node -> node.disturbedMillis = nowMillis);
  }

  private void disturb(String node) {
    nodeByName.get(node).disturbedMillis = nowMillis;
  }

  private boolean isCut(Node one, Node other) {
    String first = one.record.dataCentre();
    String second = other.record.dataCentre();
    return !first.equals(second)
        && (cutDataCentres.contains(first) || cutDataCentres.contains(second));
  }

  List<String> nodes() {
    return List.copyOf(nodeByName.keySet());
  }

  /** Returns the number of running nodes that know a limit of the server. */
  long informedCount() {
    return nodeByName.values().stream()
        .filter(node -> node.running && !node.quotas.limits(server.incarnation()).isNone())
        .count();
  }

  /** Returns the node that grants the sends to the server while all nodes run. */
  String grantingNode() {
    Node any = nodeByName.values().iterator().next();
    LimiterSelector selector =
        new LimiterSelector(
            any.record.node(),
            new FixedPeers(nodeByName.keySet()),
            address -> {},
            () -> Instant.ofEpochMilli(nowMillis));
    selector.setNodes(nodeByName.values().stream().map(node -> node.record).toList());
    return selector.select(server).node().orElseThrow();
  }

  /** Returns the requests that have reached the server. */
  ArrivalLog arrivals() {
    return arrivals;
  }

  int sent(String node) {
    return nodeByName.get(node).sent;
  }

  int denied(String node) {
    return nodeByName.get(node).denied;
  }

  long frames() {
    return frames;
  }

  long bytes() {
    return bytes;
  }

  long nowMillis() {
    return nowMillis;
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
}
