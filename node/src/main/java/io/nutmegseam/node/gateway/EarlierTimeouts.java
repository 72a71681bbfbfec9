package io.nutmegseam.node.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.StorePosition;
import io.nutmegseam.node.rows.TableUpdate;
import java.io.UncheckedIOException;
import java.time.InstantSource;
import java.util.Optional;

/**
 * Tells nodes that start which timeouts streams can have that began before. The holder of the order
 * lease writes it into the row that it renews each second, so that it outlasts all nodes. A row
 * that was written under another configuration tells nothing: there may have been further ones.
 * Confined to the control thread.
 */
final class EarlierTimeouts {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CONFIG_VERSION = "configVersion";
  private static final String TIMEOUT_MILLIS = "earlierTimeoutMillis";

  private final GatewayState state;
  private final InstantSource clock;
  private Optional<Told> told = Optional.empty();

  private record Told(long configVersion, long timeoutMillis) {}

  /**
   * Creates a component that has been told nothing.
   *
   * @param state has the configuration, and receives what is known of the time before
   * @param clock monotonic clock
   */
  EarlierTimeouts(GatewayState state, InstantSource clock) {
    this.state = state;
    this.clock = clock;
  }

  /** Returns the row of the order lease with what this node knows. */
  String addTo(String leaseRow) {
    Optional<GatewayConfig> config = state.config();
    if (config.isEmpty()) {
      return leaseRow;
    }
    try {
      ObjectNode row = (ObjectNode) JSON.readTree(leaseRow);
      return row.put(CONFIG_VERSION, config.get().version())
          .put(TIMEOUT_MILLIS, state.routes().earlierTimeoutMillis(clock.millis()))
          .toString();
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Observes the row of the order lease in an update of the project's own table. */
  void onRows(TableUpdate<Row> update) {
    Optional<Row> row =
        update.items().stream().filter(r -> r.key().equals(LeaseControl.KEY)).findFirst();
    if (row.isPresent()) {
      told = decode(row.get());
    } else if (update.full() && StorePosition.era(update.version()) <= LeaseControl.FIRST_ERA) {
      // No node has ever held the lease.
      state.setRoutes(state.routes().withUnseenTimeout(0));
    }
  }

  /** Publishes what was told under the present configuration. */
  void apply() {
    long configVersion = state.config().map(GatewayConfig::version).orElse(-1L);
    told.filter(row -> row.configVersion() == configVersion)
        .ifPresent(row -> state.setRoutes(state.routes().withUnseenTimeout(row.timeoutMillis())));
  }

  /** Decodes a row; empty if it does not tell, as that of an older build or a restored one. */
  private static Optional<Told> decode(Row row) {
    try {
      JsonNode json = JSON.readTree(row.value());
      boolean restored = json.path("era").asLong() < StorePosition.era(row.version());
      boolean tells = json.path(CONFIG_VERSION).isNumber() && json.path(TIMEOUT_MILLIS).isNumber();
      return tells && !restored
          ? Optional.of(
              new Told(json.path(CONFIG_VERSION).asLong(), json.path(TIMEOUT_MILLIS).asLong()))
          : Optional.empty();
    } catch (JsonProcessingException e) {
      // The control of the lease handles an unreadable row.
      return Optional.empty();
    }
  }
}
