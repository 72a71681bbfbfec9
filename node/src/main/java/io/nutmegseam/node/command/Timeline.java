package io.nutmegseam.node.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.nutmegseam.core.event.HybridTimestamp;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The events of all nodes in causal order.
 *
 * @param events the events, ordered by timestamp and node
 */
record Timeline(List<Event> events) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** One event of one node. */
  record Event(
      HybridTimestamp at,
      String node,
      int number,
      String name,
      String subject,
      String detail,
      String json) {
    String toText() {
      return "%s %-10s %d %-20s %s %s"
          .formatted(
              java.time.Instant.ofEpochMilli(at.wallMillis()), node, number, name, subject, detail)
          .stripTrailing();
    }
  }

  /**
   * Collects the events of all nodes that the client's node lists. Reports each node that fails to
   * respond on {@code err} and leaves its events out.
   */
  static Timeline collect(OperatorClient client, PrintStream err) throws CommandException {
    List<Event> events = new ArrayList<>();
    for (JsonNode node : client.get("/v1/status").path("nodes")) {
      try {
        for (JsonNode line :
            client.withAddress(node.path("operatorAddress").asText()).get("/v1/timeline")) {
          events.add(parseEvent(line.asText()));
        }
      } catch (CommandException e) {
        err.println("without " + node.path("node").asText() + ": " + e.getMessage());
      }
    }
    events.sort(Comparator.comparing(Event::at).thenComparing(Event::node));
    return new Timeline(events);
  }

  private static Event parseEvent(String line) throws CommandException {
    try {
      JsonNode node = JSON.readTree(line);
      return new Event(
          HybridTimestamp.decode(node.path("hlc").asText()).orElse(new HybridTimestamp(0, 0)),
          node.path("node").asText(),
          node.path("event").asInt(),
          node.path("name").asText(),
          node.path("subject").asText(),
          node.path("detail").asText(),
          line);
    } catch (JsonProcessingException e) {
      throw new CommandException(ExitStatus.UNREACHABLE, "a timeline event is not JSON: " + line);
    }
  }
}
