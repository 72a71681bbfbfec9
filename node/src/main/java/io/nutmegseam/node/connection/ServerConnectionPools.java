package io.nutmegseam.node.connection;

import io.netty.channel.EventLoop;
import io.nutmegseam.core.event.EventSink;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The connection pools of all server addresses. Confined to the traffic thread. */
public final class ServerConnectionPools {
  private static final int CONNECT_TIMEOUT_MILLIS = 400;
  private static final long SWEEP_INTERVAL_MILLIS = 5_000;
  private static final long MAX_IDLE_MILLIS = 10_000;

  private final EventLoop loop;
  private final String idHeader;
  private final InstantSource clock;
  private final EventSink events;
  private final Map<String, ServerConnectionPool> poolByAddress = new HashMap<>();

  /**
   * Creates the pools.
   *
   * @param loop the traffic thread
   * @param idHeader header in which servers echo the id of a request
   * @param clock monotonic clock
   * @param events the log
   */
  public ServerConnectionPools(
      EventLoop loop, String idHeader, InstantSource clock, EventSink events) {
    this.loop = loop;
    this.idHeader = idHeader;
    this.clock = clock;
    this.events = events;
    loop.scheduleWithFixedDelay(
        this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the pool of an address. */
  public ServerConnectionPool pool(String host, int port) {
    return poolByAddress.computeIfAbsent(
        host + ":" + port,
        address ->
            new ServerConnectionPool(
                loop, host, port, idHeader, CONNECT_TIMEOUT_MILLIS, clock, events));
  }

  private void sweep() {
    poolByAddress
        .values()
        .removeIf(
            pool -> {
              pool.closeIdle(MAX_IDLE_MILLIS);
              return pool.isUnused();
            });
  }
}
