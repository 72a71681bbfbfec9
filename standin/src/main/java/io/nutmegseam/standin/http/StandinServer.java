package io.nutmegseam.standin.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Listens on one loopback port and runs the handler of each request on a worker thread. */
public final class StandinServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 16 << 20;
  private static final EventLoopGroup EVENT_LOOPS =
      new NioEventLoopGroup(2, daemonThreadFactory("standin-io"));

  private final ExecutorService workers =
      Executors.newCachedThreadPool(daemonThreadFactory("standin-worker"));
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final RequestHandler handler;
  private final Channel listener;
  private volatile boolean refusing;

  /**
   * Binds the port and starts to accept connections.
   *
   * @param port the port on 127.0.0.1; 0 for any free one
   * @param handler handles the requests
   */
  public StandinServer(int port, RequestHandler handler) {
    this.handler = handler;
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(EVENT_LOOPS)
            .channel(NioServerSocketChannel.class)
            .childHandler(new ConnectionInitializer());
    this.listener = bootstrap.bind("127.0.0.1", port).syncUninterruptibly().channel();
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return ((java.net.InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Closes all connections, as a crash of the process would. */
  public void closeConnections() {
    connections.close();
  }

  /** Sets whether new connections are closed immediately after they are accepted. */
  public void setRefusingConnections(boolean refuse) {
    refusing = refuse;
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    connections.close();
    workers.shutdownNow();
  }

  private static java.util.concurrent.ThreadFactory daemonThreadFactory(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }

  private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      if (refusing) {
        channel.close();
        return;
      }
      connections.add(channel);
      channel
          .pipeline()
          .addLast(new HttpServerCodec())
          .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
          .addLast(new RequestDispatcher());
    }
  }

  private final class RequestDispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      HttpExchange exchange = new HttpExchange(context.channel(), request);
      workers.execute(() -> handle(exchange));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }

    private void handle(HttpExchange exchange) {
      try {
        handler.handle(exchange);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        exchange.abort();
      } catch (IOException | RuntimeException e) {
        exchange.respond(500, "text/plain", String.valueOf(e), java.util.Map.of());
      }
    }
  }
}
