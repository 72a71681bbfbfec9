package io.nutmegseam.node.gateway;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.peer.PeerNetwork;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.StoreNews;
import io.nutmegseam.node.rows.NodeDirectory;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.rows.PeerWriteRelay;
import io.nutmegseam.node.rows.RowStore;
import io.nutmegseam.node.rows.TableUpdate;
import io.nutmegseam.node.rows.TableUpdateCodec;
import io.nutmegseam.node.rows.TableWatcher;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Follows the platform's store. In each data centre one node reads it and passes on what it reads;
 * a node that hears nothing reads for itself. Confined to the control thread.
 */
final class StoreFollower {
  /** The project's own table. */
  static final String OWN_TABLE = "nutmegseam";

  /** Config changes must be in force within seconds, so the store answers at the change. */
  private static final TableWatcher.PollTiming CONFIG_PACE =
      new TableWatcher.PollTiming(500, 50, 1_200);

  /** Servers write all the time; waiting for a change would mean to be answered at once. */
  private static final TableWatcher.PollTiming SERVER_PACE =
      new TableWatcher.PollTiming(0, 500, 1_200);

  private static final TableWatcher.PollTiming OWN_PACE =
      new TableWatcher.PollTiming(0, 500, 1_200);

  /** Time before the own row is written again, after a write without an answer. */
  private static final long REGISTER_MILLIS = 2_000;

  private final RowStore rows;
  private final RowDecoders decoders;
  private final NodeDirectory directory;
  private final PeerNetwork network;
  private final EventSink events;
  private final TableWatcher.Context context;
  private final TableWatcher<Row> configWatch;
  private final TableWatcher<ServerEntry> serverWatch;
  private final TableWatcher<Row> ownWatch;
  private final PeerWriteRelay peerWrites;
  private final Set<String> heard = new HashSet<>();
  private final Map<String, Long> freshAtMillisByNode = new HashMap<>();
  private int watchesOut;
  private long registerAtMillis = Long.MIN_VALUE;

  /** What the follower works with. */
  record Parts(
      RowStore rows,
      RowDecoders decoders,
      NodeDirectory directory,
      PeerNetwork network,
      PeerWriteRelay.Timer timer,
      TableWatcher.Context context) {}

  /**
   * Creates a follower; {@link #tick} reads.
   *
   * @param parts what the follower works with
   * @param fleet takes the configuration and the servers' entries
   * @param ownRows takes rows of the project's own table
   */
  StoreFollower(Parts parts, FleetControl fleet, Consumer<TableUpdate<Row>> ownRows) {
    this.rows = parts.rows();
    this.decoders = parts.decoders();
    this.directory = parts.directory();
    this.network = parts.network();
    this.events = parts.context().events();
    this.context = parts.context();
    this.peerWrites =
        new PeerWriteRelay(rows, OWN_TABLE, parts.network(), parts.timer(), context.events());
    this.configWatch = rowWatch(decoders.configTable(), CONFIG_PACE, fleet::onConfig);
    this.serverWatch =
        new TableWatcher<>(
            new TableWatcher.Source(rows, decoders.serverTable()),
            SERVER_PACE,
            fleet::decodeServer,
            fleet::onServers,
            (table, batch) -> pass(TableUpdateCodec.encodeServers(table, batch)),
            context);
    this.ownWatch =
        rowWatch(
            OWN_TABLE,
            OWN_PACE,
            batch -> {
              batch.items().forEach(directory::onRow);
              batch.removedKeys().forEach(directory::onRowRemoved);
              ownRows.accept(batch);
              return batch;
            });
  }

  private TableWatcher<Row> rowWatch(
      String table, TableWatcher.PollTiming pace, TableWatcher.Sink<Row> sink) {
    return new TableWatcher<>(
        new TableWatcher.Source(rows, table),
        pace,
        Optional::of,
        sink,
        (name, batch) -> pass(TableUpdateCodec.encodeRows(name, batch)),
        context);
  }

  /** Reads what is due, and keeps connections to the nodes that may read for this one. */
  void tick() {
    Set<String> connected = network.connectedNodes();
    for (NodeRecord record : directory.followedNodes()) {
      if (!connected.contains(record.node())) {
        network.connect(record.peerAddress());
      }
    }
    freshAtMillisByNode.keySet().retainAll(connected);
    if (heard.removeIf(node -> !connected.contains(node))) {
      forEachWatch(TableWatcher::readAtNextTick);
    }
    forEachWatch(TableWatcher::tick);
    int out =
        (int)
            Stream.of(configWatch, serverWatch, ownWatch)
                .filter(TableWatcher::isStoreUnavailable)
                .count();
    if (out < watchesOut) {
      forEachWatch(TableWatcher::retryAtNextTick);
    }
    watchesOut = out;
    register();
  }

  /** Takes what another node has read. */
  void onNews(String node, StoreNews news) {
    boolean followed = directory.isFollowed(node);
    if (followed) {
      heard.add(node);
    }
    freshAtMillisByNode.put(node, context.clock().millis() - news.getAgeMillis());
    try {
      if (news.getTable().equals(decoders.serverTable())) {
        serverWatch.onUpdate(TableUpdateCodec.decodeServers(news), followed);
      } else if (news.getTable().equals(decoders.configTable())) {
        configWatch.onUpdate(TableUpdateCodec.decodeRows(news), followed);
      } else if (news.getTable().equals(OWN_TABLE)) {
        ownWatch.onUpdate(TableUpdateCodec.decodeRows(news), followed);
      }
    } catch (IOException e) {
      events.record(EventKind.PEER_REJECTED, node, "news of " + news.getTable() + ": " + e);
    }
  }

  /** Takes another node's wish to write, or its answer to such a wish. */
  void onWrite(String node, PeerFrame frame) {
    if (frame.hasRowWriteAsk()) {
      peerWrites.onRequest(node, frame.getRowWriteAsk());
    } else {
      peerWrites.onResponse(frame.getRowWriteAnswer());
    }
  }

  /**
   * Writes a row of the project's own table; a node that the store turns away writes through
   * another one.
   *
   * @param key key of the row
   * @param expectedVersion the version that it must have; 0 if it must not be there
   * @param value the new value
   * @return the new version, or empty if the row has another version
   */
  CompletableFuture<Optional<Long>> write(String key, long expectedVersion, String value) {
    Optional<String> helper = helper();
    if (helper.isPresent() && ownWatch.isStoreUnavailable()) {
      return peerWrites.write(helper.get(), key, expectedVersion, value);
    }
    return rows.write(OWN_TABLE, key, expectedVersion, value);
  }

  /** Returns a node that has reached the store just now. */
  private Optional<String> helper() {
    long sinceMillis = context.clock().millis() - OWN_PACE.maxUpdateAgeMillis();
    return freshAtMillisByNode.entrySet().stream()
        .filter(entry -> entry.getValue() >= sinceMillis)
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey);
  }

  /** Returns how old the newest knowledge of the servers is, in milliseconds. */
  long serversAgeMillis() {
    return serverWatch.ageMillis();
  }

  /** Returns how old the newest knowledge of the project's own table is, in milliseconds. */
  long ownAgeMillis() {
    return ownWatch.ageMillis();
  }

  private void forEachWatch(Consumer<TableWatcher<?>> action) {
    action.accept(configWatch);
    action.accept(serverWatch);
    action.accept(ownWatch);
  }

  private void pass(StoreNews news) {
    for (String node : network.connectedNodes()) {
      if (directory.isPeerInDataCentre(node)) {
        network.send(node, PeerFrame.newBuilder().setStoreNews(news));
      }
    }
  }

  /** Writes the own row, if it does not say yet how the other nodes reach this one. */
  private void register() {
    long nowMillis = context.clock().millis();
    boolean known = ownWatch.ageMillis() < OWN_PACE.maxUpdateAgeMillis();
    if (directory.isOwnRowCurrent() || !known || nowMillis < registerAtMillis) {
      return;
    }
    registerAtMillis = nowMillis + REGISTER_MILLIS;
    long expected = directory.ownRow().map(Row::version).orElse(0L);
    write(directory.ownKey(), expected, directory.ownValue())
        .whenComplete(
            (version, e) -> {
              // The watch shows whether the write took effect.
              if (e != null) {
                events.record(EventKind.PLATFORM_OUT, OWN_TABLE, "own row not written: " + e);
              }
            });
  }
}
