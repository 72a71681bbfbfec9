package io.nutmegseam.node.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.nutmegseam.core.gateway.GatewayLimits;
import io.nutmegseam.node.settings.HostPort;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Listens for callers, and for readiness checks and scrapes of metrics. */
public final class GatewayServer {
  private static final int ACCEPT_BACKLOG = 1_024;
  private static final int MAX_REQUEST_LINE_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 16_384;

  private final EventLoopGroup group;
  private final TrafficContext context;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Set<CallerConnection> connections = new HashSet<>();
  private final List<Channel> callerListeners = new CopyOnWriteArrayList<>();

  /**
   * Creates a server; {@link #listen} opens its addresses.
   *
   * @param group event loop group of the traffic thread
   * @param context dependencies shared by all requests
   */
  GatewayServer(EventLoopGroup group, TrafficContext context) {
    this.group = group;
    this.context = context;
  }

  /** Listens for callers. */
  public void listen(HostPort address) {
    callerListeners.add(bind(address, new CallerInitializer(false)));
  }

  /** Listens for requests that other nodes cannot send to a server. */
  void listenForPeers(HostPort address) {
    callerListeners.add(bind(address, new CallerInitializer(true)));
  }

  /** Handles that this node no longer reaches any server. */
  void onCutOff() {
    List.copyOf(connections).forEach(CallerConnection::onCutOff);
  }

  /**
   * Listens for requests about the state of the node.
   *
   * @param address the listening address
   * @param responder creates the response for a path
   */
  public void listen(HostPort address, StatusResponder responder) {
    bind(address, new StatusInitializer(responder));
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Stops accepting connections from callers; open connections stay open. */
  public void stopListening() {
    callerListeners.forEach(Channel::close);
  }

  /** Closes the callers' connections on which no request is in flight or being received. */
  public void closeIdle() {
    context.loop().execute(() -> List.copyOf(connections).forEach(CallerConnection::closeIfIdle));
  }

  private Channel bind(HostPort address, ChannelHandler handler) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(handler)
            .bind(address.host(), address.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("cannot listen on " + address, bound.cause());
    }
    return bound.channel();
  }

  private final class CallerInitializer extends ChannelInitializer<SocketChannel> {
    private final boolean fromPeer;

    private CallerInitializer(boolean fromPeer) {
      this.fromPeer = fromPeer;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      GatewayLimits limits = context.gatewayLimits();
      CallerConnection connection = new CallerConnection(context, inFlight::addAndGet, fromPeer);
      connections.add(connection);
      Channel closing = channel;
      closing.closeFuture().addListener(closed -> connections.remove(connection));
      channel
          .pipeline()
          .addLast(
              new StrictRequestDecoder(
                  MAX_REQUEST_LINE_BYTES, limits.maxHeaderBytes(), MAX_CHUNK_BYTES))
          .addLast(new HttpResponseEncoder())
          .addLast(
              new IdleStateHandler(true, 0, 0, limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS))
          .addLast(connection);
    }
  }

  private static final class StatusInitializer extends ChannelInitializer<SocketChannel> {
    private final StatusResponder responder;

    private StatusInitializer(StatusResponder responder) {
      this.responder = responder;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      channel.pipeline().addLast(new HttpServerCodec()).addLast(new StatusHandler(responder));
    }
  }
}
