package io.nutmegseam.node.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.core.orders.StoreLoadLimiter;
import io.nutmegseam.core.orders.StoreLoadState;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.rows.TableUpdate;
import java.io.UncheckedIOException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/**
 * Hands the loads in flight from the weight store over to the next holder of the order lease: the
 * holder writes them into the row of the lease, and the other nodes follow it. The servers do not
 * tell a new holder which of them load from the store, nor does it see loads whose servers are
 * gone. Confined to the control thread.
 */
final class StoreLoadHandover {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String STORE_LOADS = "storeLoads";
  private static final String WRITTEN_AT_MILLIS = "writtenAtMillis";
  private static final String PARALLEL_LOADS = "parallelLoads";
  private static final String GROWTH_PAUSE_MILLIS = "growthPauseMillis";
  private static final String LOADS = "loads";
  private static final String SERVER = "server";
  private static final String MODEL = "model";
  private static final String AGE_MILLIS = "ageMillis";
  private static final String UNCONTENDED_MILLIS = "uncontendedMillis";
  private static final String PARALLEL_AT_START = "parallelAtStart";

  /** A row that has stood for longer names no load that is still in flight. */
  private static final long MAX_ROW_AGE_MILLIS = 60_000;

  private final String process;
  private final StoreLoadLimiter storeLoads;
  private final InstantSource clock;
  private final InstantSource wallClock;

  /**
   * Creates a component that has read no row.
   *
   * @param process name of this process, as the row of the lease names its holder
   * @param storeLoads the loads from the weight store
   * @param clock monotonic clock
   * @param wallClock the time of day, which tells for how long a row has stood in the store
   */
  StoreLoadHandover(
      String process, StoreLoadLimiter storeLoads, InstantSource clock, InstantSource wallClock) {
    this.process = process;
    this.storeLoads = storeLoads;
    this.clock = clock;
    this.wallClock = wallClock;
  }

  /** Returns the row of the order lease with the loads in flight. */
  String addTo(String leaseRow) {
    long nowMillis = clock.millis();
    StoreLoadState state = storeLoads.state(nowMillis);
    try {
      ObjectNode row = (ObjectNode) JSON.readTree(leaseRow);
      ObjectNode json = row.putObject(STORE_LOADS);
      json.put(WRITTEN_AT_MILLIS, wallClock.millis());
      json.put(PARALLEL_LOADS, state.parallelLoads());
      json.put(GROWTH_PAUSE_MILLIS, Math.max(0, state.growthAllowedFromMillis() - nowMillis));
      ArrayNode loads = json.putArray(LOADS);
      for (StoreLoadState.LoadInFlight load : state.loads()) {
        loads
            .addObject()
            .put(SERVER, load.server())
            .put(MODEL, load.model())
            .put(AGE_MILLIS, nowMillis - load.startMillis())
            .put(UNCONTENDED_MILLIS, load.uncontendedMillis())
            .put(PARALLEL_AT_START, load.parallelAtStart());
      }
      return row.toString();
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Follows the loads of another process that holds the order lease. */
  void onRows(TableUpdate<Row> update) {
    update.items().stream()
        .filter(row -> row.key().equals(LeaseControl.KEY))
        .findFirst()
        .ifPresent(this::onRow);
  }

  private void onRow(Row row) {
    try {
      JsonNode json = JSON.readTree(row.value());
      JsonNode state = json.path(STORE_LOADS);
      // The row of a holder of an older build does not tell.
      if (!json.path("holder").asText().equals(process) && state.isObject()) {
        storeLoads.restore(decode(state, writtenMillis(state)), clock.millis());
      }
    } catch (JsonProcessingException e) {
      // The control of the lease handles an unreadable row.
    }
  }

  /**
   * Returns the monotonic time at which a row was written; bounded, as the time of day may jump.
   */
  private long writtenMillis(JsonNode state) {
    long ageMillis = wallClock.millis() - state.path(WRITTEN_AT_MILLIS).asLong();
    return clock.millis() - Math.max(0, Math.min(MAX_ROW_AGE_MILLIS, ageMillis));
  }

  private static StoreLoadState decode(JsonNode json, long writtenMillis) {
    List<StoreLoadState.LoadInFlight> loads = new ArrayList<>();
    for (JsonNode load : json.path(LOADS)) {
      loads.add(
          new StoreLoadState.LoadInFlight(
              load.path(SERVER).asText(),
              load.path(MODEL).asText(),
              writtenMillis - load.path(AGE_MILLIS).asLong(),
              load.path(UNCONTENDED_MILLIS).asLong(),
              load.path(PARALLEL_AT_START).asInt()));
    }
    return new StoreLoadState(
        loads,
        json.path(PARALLEL_LOADS).asInt(),
        writtenMillis + json.path(GROWTH_PAUSE_MILLIS).asLong());
  }
}
