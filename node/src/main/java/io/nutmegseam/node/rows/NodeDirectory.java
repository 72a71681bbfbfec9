package io.nutmegseam.node.rows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.settings.HostPort;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The nodes that have written themselves into the project's own table. In each data centre the
 * nodes are ranked by processor power; a node follows those that rank before it. Confined to the
 * control thread.
 */
public final class NodeDirectory {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String KEY_PREFIX = "node/";

  /** Nodes of the data centre that a node keeps connections to; the first live one reads. */
  private static final int FOLLOWED_NODES = 4;

  private static final Comparator<NodeRecord> RANK =
      Comparator.comparingDouble((NodeRecord record) -> -record.power())
          .thenComparing(NodeRecord::node);

  private final NodeRecord self;
  private final EventSink events;
  private final Map<String, NodeRecord> recordByNode = new HashMap<>();
  private Optional<Row> ownRow = Optional.empty();

  /**
   * Creates a directory that knows only its own node.
   *
   * @param self the own node
   * @param events the log
   */
  public NodeDirectory(NodeRecord self, EventSink events) {
    this.self = self;
    this.events = events;
    recordByNode.put(self.node(), self);
  }

  /** Takes in a row of the project's own table, if it is one of a node. */
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

  /** Takes in the removal of a row. */
  public void onRowRemoved(String key) {
    if (key.equals(ownKey())) {
      ownRow = Optional.empty();
    } else if (key.startsWith(KEY_PREFIX)) {
      recordByNode.remove(key.substring(KEY_PREFIX.length()));
    }
  }

  /** Returns the key of the own row. */
  public String ownKey() {
    return KEY_PREFIX + self.node();
  }

  /** Returns the value that the own row should have. */
  public String ownValue() {
    return JSON.createObjectNode()
        .put("dataCentre", self.dataCentre())
        .put("peerAddress", self.peerAddress().toString())
        .put("power", self.power())
        .toString();
  }

  /** Returns the own row as it was last read. */
  public Optional<Row> ownRow() {
    return ownRow;
  }

  /** Returns whether the own row says what it should. */
  public boolean isOwnRowCurrent() {
    return ownRow.filter(row -> row.value().equals(ownValue())).isPresent();
  }

  /** Returns the nodes that this one keeps connections to, the first in rank first. */
  public List<NodeRecord> followedNodes() {
    return recordByNode.values().stream()
        .filter(record -> isPeerInDataCentre(record.node()))
        .filter(record -> RANK.compare(record, self) < 0)
        .sorted(RANK)
        .limit(FOLLOWED_NODES)
        .toList();
  }

  /** Returns whether a node reads the store for this one while it lives. */
  public boolean isFollowed(String node) {
    NodeRecord record = recordByNode.get(node);
    return record != null && isPeerInDataCentre(node) && RANK.compare(record, self) < 0;
  }

  /** Returns whether a node is another one of the same data centre. */
  public boolean isPeerInDataCentre(String node) {
    NodeRecord record = recordByNode.get(node);
    return record != null
        && !node.equals(self.node())
        && record.dataCentre().equals(self.dataCentre());
  }

  /** Returns the number of nodes of the data centre that rank before this one. */
  public int rankInDataCentre() {
    return (int)
        recordByNode.values().stream()
            .filter(record -> record.dataCentre().equals(self.dataCentre()))
            .filter(record -> RANK.compare(record, self) < 0)
            .count();
  }

  /** Returns the number of nodes that have more power. */
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
        events.record(EventKind.NODE_UNREADABLE, node, "peerAddress \"" + text + "\"");
      }
      return address.map(
          peer ->
              new NodeRecord(
                  node, json.path("dataCentre").asText(), peer, json.path("power").asDouble()));
    } catch (JsonProcessingException e) {
      events.record(EventKind.NODE_UNREADABLE, node, e.getOriginalMessage());
      return Optional.empty();
    }
  }
}
