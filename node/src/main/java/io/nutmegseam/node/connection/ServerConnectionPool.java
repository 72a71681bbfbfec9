package io.nutmegseam.node.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.nutmegseam.core.event.EventSink;
import java.net.ConnectException;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Consumer;

/** Pools the connections to one address. Confined to the traffic thread. */
public final class ServerConnectionPool {
  /**
   * A connection is not reused when less than this is left of the server's idle limit, since
   * servers close idle connections without notice and the request could arrive at that moment.
   */
  private static final long IDLE_MARGIN_MILLIS = 1_500;

  /**
   * Idle connections that are kept when a request needs a new one since all have carried its id.
   * Callers that repeat an id would otherwise use up the connections that a server accepts.
   */
  private static final int MAX_PASSED_OVER = 2;

  private final EventLoop loop;
  private final String host;
  private final int port;
  private final String idHeader;
  private final int connectTimeoutMillis;
  private final InstantSource clock;
  private final EventSink events;
  private final Deque<IdleConnection> idle = new ArrayDeque<>();
  private int open;

  /**
   * A connection that could not be opened.
   *
   * @param reason what happened, for logs and error messages
   * @param refused whether nothing listens at the address
   */
  public record ConnectFailure(String reason, boolean refused) {}

  private record IdleConnection(ServerConnection connection, long sinceMillis) {}

  /** An idle connection that is not used for requests. */
  private final class Held implements HeldConnection {
    private final IdleConnection entry;

    private Held(IdleConnection entry) {
      this.entry = entry;
    }

    @Override
    public boolean isOpen() {
      return entry.connection().isUsable();
    }

    @Override
    public long idleSinceMillis() {
      return entry.sinceMillis();
    }

    @Override
    public void release() {
      // Its server counts the idle time from its last response.
      idle.addFirst(entry);
    }
  }

  /**
   * Creates a pool without connections.
   *
   * @param loop the traffic thread
   * @param host IP address of the server
   * @param port port of the server
   * @param idHeader header in which servers echo the id of a request
   * @param connectTimeoutMillis longest time to open a connection, in milliseconds
   * @param clock monotonic clock
   * @param events the log
   */
  ServerConnectionPool(
      EventLoop loop,
      String host,
      int port,
      String idHeader,
      int connectTimeoutMillis,
      InstantSource clock,
      EventSink events) {
    this.loop = loop;
    this.host = host;
    this.port = port;
    this.idHeader = idHeader;
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.clock = clock;
    this.events = events;
  }

  /** Returns the number of open connections. */
  int openCount() {
    return open;
  }

  /**
   * Acquires an idle connection that has not carried a request with the same id, or opens a new
   * one.
   *
   * @param requestId id of the request to send; empty if responses carry no id
   * @param maxIdleMillis longest time that a reused connection may have been idle, in milliseconds
   * @param onAcquired receives the connection
   * @param onFailure receives the reason if no connection can be opened
   */
  public void acquire(
      String requestId,
      long maxIdleMillis,
      Consumer<ServerConnection> onAcquired,
      Consumer<ConnectFailure> onFailure) {
    Optional<IdleConnection> reused = takeIdle(requestId, maxIdleMillis);
    if (reused.isPresent()) {
      onAcquired.accept(reused.get().connection());
    } else {
      closePassedOver();
      connect(this::release, onAcquired, onFailure);
    }
  }

  /**
   * Opens a connection for one request, which is closed after its response.
   *
   * @param onAcquired receives the connection
   * @param onFailure receives the reason if no connection can be opened
   */
  public void acquireUnshared(
      Consumer<ServerConnection> onAcquired, Consumer<ConnectFailure> onFailure) {
    connect(ServerConnection::abort, onAcquired, onFailure);
  }

  /** Takes the connection that was used last of those that can carry a request with an id. */
  private Optional<IdleConnection> takeIdle(String requestId, long maxIdleMillis) {
    long nowMillis = clock.millis();
    Iterator<IdleConnection> latestFirst = idle.descendingIterator();
    while (latestFirst.hasNext()) {
      IdleConnection entry = latestFirst.next();
      ServerConnection candidate = entry.connection();
      long limitMillis = candidate.idleLimitMillis() - IDLE_MARGIN_MILLIS;
      boolean recent = nowMillis - entry.sinceMillis() <= Math.min(maxIdleMillis, limitMillis);
      if (!recent || !candidate.isUsable()) {
        latestFirst.remove();
        candidate.abort();
      } else if (candidate.canCarry(requestId)) {
        latestFirst.remove();
        return Optional.of(entry);
      }
    }
    return Optional.empty();
  }

  /** Closes the oldest idle connections, all of which have carried the id of the next request. */
  private void closePassedOver() {
    while (idle.size() > MAX_PASSED_OVER) {
      idle.removeFirst().connection().abort();
    }
  }

  private void release(ServerConnection freed) {
    idle.addLast(new IdleConnection(freed, clock.millis()));
  }

  /**
   * Opens a connection to learn whether the server listens. The connection is kept for a request
   * unless there is another one.
   *
   * @param onOutcome receives whether the server listens, or empty if it did not respond
   */
  public void probe(Consumer<Optional<Boolean>> onOutcome) {
    connect(
        this::release,
        connection -> {
          if (idle.isEmpty()) {
            release(connection);
          } else {
            connection.abort();
          }
          onOutcome.accept(Optional.of(true));
        },
        failure -> onOutcome.accept(failure.refused() ? Optional.of(false) : Optional.empty()));
  }

  /**
   * Holds an idle connection, or opens one.
   *
   * @param onOutcome receives the connection, or empty if none can be opened
   */
  public void hold(Consumer<Optional<HeldConnection>> onOutcome) {
    Optional<IdleConnection> reused = takeIdle("", Long.MAX_VALUE);
    if (reused.isPresent()) {
      onOutcome.accept(reused.map(Held::new));
    } else {
      connect(
          this::release,
          connection ->
              onOutcome.accept(
                  Optional.of(new Held(new IdleConnection(connection, clock.millis())))),
          failure -> onOutcome.accept(Optional.empty()));
    }
  }

  private ConnectFailure connectFailure(Throwable cause) {
    boolean refused =
        cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    return new ConnectFailure("cannot connect to " + host + ":" + port + ": " + cause, refused);
  }

  /** Closes the connections that have been idle for longer than a time or cannot be used. */
  void closeIdle(long maxIdleMillis) {
    long nowMillis = clock.millis();
    idle.removeIf(
        entry -> {
          boolean expired = nowMillis - entry.sinceMillis() > maxIdleMillis;
          if (expired || !entry.connection().isUsable()) {
            entry.connection().abort();
            return true;
          }
          return false;
        });
  }

  private void connect(
      Consumer<ServerConnection> onIdle,
      Consumer<ServerConnection> onAcquired,
      Consumer<ConnectFailure> onFailure) {
    ResponseDecoder decoder = new ResponseDecoder();
    ServerConnection connection = new ServerConnection(idHeader, decoder, onIdle, events);
    open++;
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
        // Tells an orderly end of the connection, which may end a response, from a failure.
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        // After a failed write, a whole response may still be read that arrived before.
        .option(ChannelOption.AUTO_CLOSE, false)
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
                onAcquired.accept(connection);
              } else {
                open--;
                onFailure.accept(connectFailure(done.cause()));
              }
            });
  }
}
