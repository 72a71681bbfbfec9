package io.nutmegseam.node.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.event.HybridClock;
import io.nutmegseam.core.event.HybridTimestamp;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.settings.HostPort;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLException;

/** Maintains at most one connection to each peer. Thread-safe. */
public final class PeerNetwork implements PeerTransport, AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int EVENT_LOOP_THREADS = 1;

  private final PeerIdentity self;
  private final Limits limits;
  private final HybridClock clock;
  private final EventSink events;
  private final PeerListener listener;
  private final PeerTlsContexts tls;
  private final PeerTrafficCounter traffic;
  private final EventLoopGroup loops =
      new NioEventLoopGroup(EVENT_LOOP_THREADS, new DefaultThreadFactory("peer", true));
  private final Map<String, Connection> connectionByNode = new ConcurrentHashMap<>();
  private final Set<HostPort> outgoingAddresses = ConcurrentHashMap.newKeySet();

  /**
   * Limits of a connection.
   *
   * @param maxFrameBytes size of the largest accepted frame, in bytes
   * @param idleTimeoutSeconds time without received data after which a connection is closed, in
   *     seconds
   */
  public record Limits(int maxFrameBytes, int idleTimeoutSeconds) {}

  /** A connection after its handshake; {@code accepted} if the peer opened it. */
  /** Set on connections to nodes in other data centres. */
  private static final AttributeKey<Boolean> REMOTE = AttributeKey.valueOf("remoteDataCentre");

  private record Connection(Channel channel, String incarnation, boolean accepted) {}

  /** The identity that a peer sent; {@code accepted} if the peer opened the connection. */
  record Handshake(String node, String incarnation, boolean accepted, String dataCentre) {}

  /**
   * Creates the network without connections; {@link #listen} accepts them, {@link #connect} opens
   * them.
   *
   * @param self identity of this node
   * @param limits limits of each connection
   * @param clock hybrid clock that stamps sent frames and is advanced by received ones
   * @param events event log
   * @param listener receives the frames
   * @param tls creates the TLS contexts of connections
   * @param traffic counts frames and bytes
   */
  public PeerNetwork(
      PeerIdentity self,
      Limits limits,
      HybridClock clock,
      EventSink events,
      PeerListener listener,
      PeerTlsContexts tls,
      PeerTrafficCounter traffic) {
    this.self = self;
    this.limits = limits;
    this.clock = clock;
    this.events = events;
    this.listener = listener;
    this.tls = tls;
    this.traffic = traffic;
  }

  /**
   * Accepts connections from peers.
   *
   * @param address the listening address
   */
  public void listen(HostPort address) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Initializer(true))
            .bind(address.host(), address.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("cannot listen on " + address, bound.cause());
    }
  }

  /**
   * Opens a connection, unless this node has one to the address or is opening one. Returns
   * immediately; after a successful handshake the peer is among the {@link #connectedNodes}.
   *
   * @param address address of the peer
   */
  public void connect(HostPort address) {
    if (!outgoingAddresses.add(address)) {
      return;
    }
    new Bootstrap()
        .group(loops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(new Initializer(false))
        .connect(address.host(), address.port())
        .addListener((ChannelFuture done) -> onConnectDone(address, done));
  }

  /** Permits a new connection to the address once this one has failed or is closed. */
  private void onConnectDone(HostPort address, ChannelFuture done) {
    if (done.isSuccess()) {
      done.channel().closeFuture().addListener(closed -> outgoingAddresses.remove(address));
    } else {
      outgoingAddresses.remove(address);
    }
  }

  @Override
  public boolean send(String node, PeerFrame.Builder frame) {
    Connection connection = connectionByNode.get(node);
    if (connection == null || !connection.channel().isActive()) {
      return false;
    }
    if (connection.channel().isWritable()) {
      write(connection.channel(), frame);
    }
    return true;
  }

  @Override
  public Set<String> connectedNodes() {
    return Set.copyOf(connectionByNode.keySet());
  }

  /** Returns the counters of exchanged frames and bytes. */
  public PeerTrafficCounter traffic() {
    return traffic;
  }

  @Override
  public void close() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  void write(Channel channel, PeerFrame.Builder frame) {
    HybridTimestamp now = clock.tick();
    PeerFrame stamped = frame.setWallMillis(now.wallMillis()).setLogical(now.logical()).build();
    traffic.onSent(stamped, channel.hasAttr(REMOTE));
    channel.writeAndFlush(stamped);
  }

  /**
   * Registers a connection after its handshake. Of two connections to one process, both nodes keep
   * the one that the node with the smaller name opened.
   */
  void onHandshake(Handshake handshake, Channel channel) {
    if (!handshake.dataCentre().equals(self.dataCentre())) {
      channel.attr(REMOTE).set(true);
    }
    Connection next = new Connection(channel, handshake.incarnation(), handshake.accepted());
    Connection previous = connectionByNode.get(handshake.node());
    if (previous != null && previous.channel().isActive() && !shouldReplace(handshake, previous)) {
      channel.close();
      return;
    }
    connectionByNode.put(handshake.node(), next);
    if (previous == null) {
      events.record(
          EventKind.PEER_CONNECTED, handshake.node(), String.valueOf(channel.remoteAddress()));
    } else {
      previous.channel().close();
    }
  }

  private boolean shouldReplace(Handshake handshake, Connection previous) {
    boolean newProcess = !previous.incarnation().equals(handshake.incarnation());
    boolean peerShouldConnect = handshake.node().compareTo(self.node()) < 0;
    return newProcess || handshake.accepted() == peerShouldConnect;
  }

  void onClosed(String node, Channel channel) {
    Connection registered = connectionByNode.get(node);
    boolean current = registered != null && registered.channel() == channel;
    if (current && connectionByNode.remove(node, registered)) {
      events.record(EventKind.PEER_DISCONNECTED, node, "");
    }
  }

  void onRejected(Channel channel, String reason) {
    events.record(EventKind.PEER_REJECTED, String.valueOf(channel.remoteAddress()), reason);
    channel.close();
  }

  void onFrame(String node, PeerFrame frame) {
    traffic.onReceived(frame);
    clock.update(new HybridTimestamp(frame.getWallMillis(), frame.getLogical()));
    listener.onFrame(node, frame);
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    private final boolean accepted;

    private Initializer(boolean accepted) {
      this.accepted = accepted;
    }

    @Override
    protected void initChannel(SocketChannel channel) throws SSLException {
      ChannelPipeline pipeline = channel.pipeline();
      Optional<SslContext> context =
          accepted ? tls.createServerContext() : tls.createClientContext();
      context.ifPresent(c -> pipeline.addLast(c.newHandler(channel.alloc())));
      pipeline
          .addLast(new ReadTimeoutHandler(limits.idleTimeoutSeconds()))
          .addLast(new BoundedFrameDecoder(limits.maxFrameBytes()))
          .addLast(new ProtobufDecoder(PeerFrame.getDefaultInstance()))
          .addLast(new ProtobufVarint32LengthFieldPrepender())
          .addLast(new ProtobufEncoder())
          .addLast(new PeerHandler(PeerNetwork.this, self, accepted));
    }
  }
}
