package io.nutmegseam.node.gateway;

import io.netty.channel.EventLoop;
import io.nutmegseam.core.event.EventSink;
import java.time.InstantSource;

/**
 * What requests share. Confined to the traffic thread, besides the board.
 *
 * @param loop the traffic thread
 * @param clock monotonic clock
 * @param headers names of headers
 * @param state published snapshots
 * @param pools connections to servers
 * @param chooser chooses servers
 * @param loads load of the servers
 * @param retries limits repeats
 * @param waitQueue requests that wait for a model
 * @param arrivals counts requests of each model
 * @param events the log
 * @param metrics counters and histograms
 */
record TrafficContext(
    EventLoop loop,
    InstantSource clock,
    GatewayHeaders headers,
    GatewayBoard state,
    ServerConnectionPools pools,
    ServerChooser chooser,
    ServerLoads loads,
    RetryAllowance retries,
    WaitingRoom waitQueue,
    ArrivalCounts arrivals,
    EventSink events,
    GatewayMetrics metrics) {}
