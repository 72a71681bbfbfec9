package io.nutmegseam.node.rows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.settings.HostPort;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The nodes that have registered themselves in the project's own table. In each data centre the
 * nodes are ranked by processor power. A node follows those that rank before it: the first live one
 * reads the store for it. Confined to the control thread.
 */
public final class NodeDirectory {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String KEY_PREFIX = "node/";

  /**
   * Maximum number of nodes of the data centre that a node keeps connections to; the first live one
   * reads the store.
   */
  private static final int MAX_FOLLOWED_NODES = 4;

  /** Number of nodes of a data centre that keep the origins of its streams. */
  private static final int MAX_ORIGIN_KEEPERS = 8;

  /** Number of other data centres in which one node keeps the origins of this node's streams. */
  private static final int KEEPER_DATA_CENTRES = 2;

  private static final Comparator<NodeRecord> RANK =
      Comparator.comparingDouble((NodeRecord record) -> -record.power())
          .thenComparing(NodeRecord::node);

  private final NodeRecord self;
  private final EventSink events;
  private final Map<String, NodeRecord> recordByNode = new HashMap<>();
  private Optional<Row> ownRow = Optional.empty();

  /**
   * Creates a directory that contains only this node.
   *
   * @param self the record of this node
   * @param events the event log
   */
  public NodeDirectory(NodeRecord self, EventSink events) {
    this.self = self;
    this.events = events;
    recordByNode.put(self.node(), self);
  }

  /** Applies a row of the project's own table; ignores a row that is not that of a node. */
  public void onRow(Row row) {
    if (!row.key().startsWith(KEY_PREFIX)) {
      return;
    }
    String node = row.key().substring(KEY_PREFIX.length());
    if (node.equals(self.node())) {
      ownRow = Optional.of(row);
      return;
    }
    decode(node, row).ifPresent(record -> recordByNode.put(node, record));
  }

  /**
   * Applies a read of the full table. If it lacks this node's row, the row is due to be written
   * again. Other nodes that it lacks stay known: after the store has returned from an older copy,
   * they write their rows again.
   */
  public void onFullTable(List<Row> rows) {
    ownRow = rows.stream().filter(row -> row.key().equals(ownKey())).findFirst();
    rows.forEach(this::onRow);
  }

  /** Applies the removal of a row of the project's own table. */
  public void onRowRemoved(String key) {
    if (key.equals(ownKey())) {
      ownRow = Optional.empty();
    } else if (key.startsWith(KEY_PREFIX)) {
      recordByNode.remove(key.substring(KEY_PREFIX.length()));
    }
  }

  /** Returns the key of this node's row. */
  public String ownKey() {
    return KEY_PREFIX + self.node();
  }

  /** Returns the value that this node's row should have. */
  public String ownValue() {
    ObjectNode value =
        JSON.createObjectNode()
            .put("dataCentre", self.dataCentre())
            .put("peerAddress", self.peerAddress().toString())
            .put("power", self.power());
    self.requestAddress().ifPresent(address -> value.put("requestAddress", address.toString()));
    return value.toString();
  }

  /** Returns this node's row as last read; empty if there is none. */
  public Optional<Row> ownRow() {
    return ownRow;
  }

  /** Returns whether this node's row, as last read, has the value that it should have. */
  public boolean isOwnRowCurrent() {
    return ownRow.filter(row -> row.value().equals(ownValue())).isPresent();
  }

  /** Returns all known nodes, this one included. */
  public List<NodeRecord> nodes() {
    return List.copyOf(recordByNode.values());
  }

  /** Returns the nodes that this node keeps connections to, in rank order. */
  public List<NodeRecord> followedNodes() {
    return recordByNode.values().stream()
        .filter(record -> isPeerInDataCentre(record.node()))
        .filter(record -> RANK.compare(record, self) < 0)
        .sorted(RANK)
        .limit(MAX_FOLLOWED_NODES)
        .toList();
  }

  /**
   * Returns the other nodes of this data centre that keep the origins of its streams, in an order
   * that differs between nodes, so that all of them get a similar number.
   */
  public List<NodeRecord> originKeepers() {
    return startingAtOwnPosition(firstNodes(self.dataCentre()));
  }

  /** Returns a node in each of a few other data centres that keeps the origins as well. */
  public List<NodeRecord> remoteOriginKeepers() {
    List<String> dataCentres =
        recordByNode.values().stream().map(NodeRecord::dataCentre).distinct().sorted().toList();
    int own = dataCentres.indexOf(self.dataCentre());
    int others = Math.min(KEEPER_DATA_CENTRES, dataCentres.size() - 1);
    List<NodeRecord> keepers = new ArrayList<>();
    for (int i = 1; i <= others; i++) {
      String dataCentre = dataCentres.get((own + i) % dataCentres.size());
      keepers.add(startingAtOwnPosition(firstNodes(dataCentre)).get(0));
    }
    return keepers;
  }

  /** Returns the first nodes of a data centre by rank, without this node. */
  private List<NodeRecord> firstNodes(String dataCentre) {
    return recordByNode.values().stream()
        .filter(record -> record.dataCentre().equals(dataCentre))
        .filter(record -> !record.node().equals(self.node()))
        .sorted(RANK)
        .limit(MAX_ORIGIN_KEEPERS)
        .toList();
  }

  private List<NodeRecord> startingAtOwnPosition(List<NodeRecord> records) {
    List<NodeRecord> rotated = new ArrayList<>(records);
    Collections.rotate(rotated, self.node().hashCode());
    return rotated;
  }

  /** Returns whether a node, while it is live, reads the store for this node. */
  public boolean isFollowed(String node) {
    NodeRecord record = recordByNode.get(node);
    return record != null && isPeerInDataCentre(node) && RANK.compare(record, self) < 0;
  }

  /** Returns whether a node is a different node in the same data centre as this one. */
  public boolean isPeerInDataCentre(String node) {
    NodeRecord record = recordByNode.get(node);
    return record != null
        && !node.equals(self.node())
        && record.dataCentre().equals(self.dataCentre());
  }

  /** Returns the number of nodes of this node's data centre that rank before it. */
  public int rankInDataCentre() {
    return (int)
        recordByNode.values().stream()
            .filter(record -> record.dataCentre().equals(self.dataCentre()))
            .filter(record -> RANK.compare(record, self) < 0)
            .count();
  }

  /** Returns the number of nodes of all data centres that have more processor power. */
  public int strongerNodeCount() {
    return (int)
        recordByNode.values().stream().filter(record -> record.power() > self.power()).count();
  }

  private Optional<NodeRecord> decode(String node, Row row) {
    try {
      JsonNode json = JSON.readTree(row.value());
      String text = json.path("peerAddress").asText();
      Optional<HostPort> address = HostPort.parse(text);
      if (address.isEmpty()) {
        events.record(EventKind.NODE_UNREADABLE, node, "invalid peerAddress \"" + text + "\"");
      }
      return address.map(
          peer ->
              new NodeRecord(
                  node,
                  json.path("dataCentre").asText(),
                  peer,
                  json.path("power").asDouble(),
                  HostPort.parse(json.path("requestAddress").asText())));
    } catch (JsonProcessingException e) {
      events.record(EventKind.NODE_UNREADABLE, node, e.getOriginalMessage());
      return Optional.empty();
    }
  }
}
