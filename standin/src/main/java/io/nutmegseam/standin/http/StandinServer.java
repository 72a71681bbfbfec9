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

/** Listens on one loopback port and hands each request to a worker thread. */
public final class StandinServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 16 << 20;
  private static final EventLoopGroup EVENT_LOOPS = new NioEventLoopGroup(2, daemon("standin-io"));

  private final ExecutorService workers = Executors.newCachedThreadPool(daemon("standin-worker"));
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final RequestHandler handler;
  private final Channel listener;
  private volatile boolean refusing;

  /**
   * Starts to listen.
   *
   * @param port the port on 127.0.0.1; 0 for any free one
   * @param handler answers the requests
   */
  public StandinServer(int port, RequestHandler handler) {
    this.handler = handler;
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(EVENT_LOOPS)
            .channel(NioServerSocketChannel.class)
            .childHandler(new Initializer());
    this.listener = bootstrap.bind("127.0.0.1", port).syncUninterruptibly().channel();
  }

  /** Returns the port. */
  public int port() {
    return ((java.net.InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Breaks every connection, as a crash of the process would. */
  public void closeConnections() {
    connections.close();
  }

  /** Breaks new connections at once while set. */
  public void setRefusingConnections(boolean refuse) {
    refusing = refuse;
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    connections.close();
    workers.shutdownNow();
  }

  private static java.util.concurrent.ThreadFactory daemon(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
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
          .addLast(new Dispatcher());
    }
  }

  private final class Dispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      HttpExchange exchange = new HttpExchange(context.channel(), request);
      workers.execute(() -> answer(exchange));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }

    private void answer(HttpExchange exchange) {
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
