package io.nutmegseam.node.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** Connections to one address. Confined to the traffic thread. */
final class ServerConnectionPool {
  /** Servers close idle connections without a word; a request must not meet that moment. */
  private static final long IDLE_MARGIN_MILLIS = 1_500;

  private final EventLoop loop;
  private final String host;
  private final int port;
  private final String idHeader;
  private final int connectTimeoutMillis;
  private final InstantSource clock;
  private final Deque<Idle> idle = new ArrayDeque<>();
  private int open;

  private record Idle(ServerConnection connection, long sinceMillis) {}

  /**
   * Creates a pool without connections.
   *
   * @param loop the traffic thread
   * @param host IP number of the server
   * @param port port of the server
   * @param idHeader header in which servers echo the id of a request
   * @param connectTimeoutMillis longest time to open a connection, in milliseconds
   * @param clock monotonic clock
   */
  ServerConnectionPool(
      EventLoop loop,
      String host,
      int port,
      String idHeader,
      int connectTimeoutMillis,
      InstantSource clock) {
    this.loop = loop;
    this.host = host;
    this.port = port;
    this.idHeader = idHeader;
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.clock = clock;
  }

  /** Returns the number of open connections. */
  int openCount() {
    return open;
  }

  /**
   * Takes an idle connection, or opens one.
   *
   * @param maxIdleMillis longest time that a reused connection may have been idle
   * @param ready takes the connection
   * @param failed takes the reason if no connection can be opened
   */
  void acquire(long maxIdleMillis, Consumer<ServerConnection> ready, Consumer<String> failed) {
    long nowMillis = clock.millis();
    while (!idle.isEmpty()) {
      Idle candidate = idle.pollLast();
      long idleMillis = nowMillis - candidate.sinceMillis();
      long limitMillis = candidate.connection().idleLimitMillis() - IDLE_MARGIN_MILLIS;
      boolean fresh = idleMillis <= Math.min(maxIdleMillis, limitMillis);
      if (fresh && candidate.connection().isUsable()) {
        ready.accept(candidate.connection());
        return;
      }
      candidate.connection().abort();
    }
    connect(ready, failed);
  }

  /** Closes connections that have been idle for a time. */
  void closeIdle(long maxIdleMillis) {
    long nowMillis = clock.millis();
    idle.removeIf(
        one -> {
          boolean old = nowMillis - one.sinceMillis() > maxIdleMillis;
          if (old || !one.connection().isUsable()) {
            one.connection().abort();
            return true;
          }
          return false;
        });
  }

  private void connect(Consumer<ServerConnection> ready, Consumer<String> failed) {
    ResponseDecoder decoder = new ResponseDecoder();
    ServerConnection connection =
        new ServerConnection(
            idHeader, decoder, freed -> idle.addLast(new Idle(freed, clock.millis())));
    open++;
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpRequestEncoder())
                    .addLast(decoder)
                    .addLast(connection);
              }
            })
        .connect(host, port)
        .addListener(
            (ChannelFuture done) -> {
              if (done.isSuccess()) {
                done.channel().closeFuture().addListener(closed -> open--);
                ready.accept(connection);
              } else {
                open--;
                failed.accept("no connection to " + host + ":" + port + ": " + done.cause());
              }
            });
  }
}
