package io.nutmegseam.node.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
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
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
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

  /** Time for which the idle limit of a server without connections is remembered. */
  private static final long REMEMBER_MILLIS = 60_000;

  /** A connection that was opened later may reach the next process at the address. */
  private static final long MIN_OPEN_MILLIS = 100;

  private final EventLoop loop;
  private final String host;
  private final int port;
  private final String idHeader;
  private final int connectTimeoutMillis;
  private final InstantSource clock;
  private final EventSink events;
  private final Deque<IdleConnection> idle = new ArrayDeque<>();
  private final Set<Held> held = new HashSet<>();

  private final Map<ServerConnection, OpenChannel> openByConnection = new HashMap<>();
  private final IdleLimit idleLimit;
  private int connecting;
  private long lastUsedMillis;

  /**
   * A connection that could not be opened.
   *
   * @param reason what happened, for logs and error messages
   * @param refused whether nothing listens at the address
   */
  public record ConnectFailure(String reason, boolean refused) {}

  private record IdleConnection(ServerConnection connection, long sinceMillis) {}

  private record OpenChannel(Channel channel, long sinceMillis) {}

  /** An idle connection that is not used for requests. */
  private final class Held implements HeldConnection {
    private final IdleConnection entry;
    private Runnable onEnded = () -> {};
    private OptionalLong endedMillis = OptionalLong.empty();

    private Held(IdleConnection entry) {
      this.entry = entry;
      held.add(this);
    }

    @Override
    public boolean isOpen() {
      return held.contains(this) && entry.connection().isUsable();
    }

    @Override
    public boolean hasEnded() {
      return endedMillis.isPresent();
    }

    @Override
    public long idleSinceMillis() {
      return entry.sinceMillis();
    }

    @Override
    public boolean isNearIdleLimit() {
      return idleLimit.isNear(idleMillis());
    }

    @Override
    public boolean isHalfwayToIdleLimit() {
      return idleLimit.isHalfway(idleMillis());
    }

    @Override
    public void onEnded(Runnable action) {
      onEnded = action;
    }

    @Override
    public void release() {
      if (held.remove(this) && entry.connection().isUsable()) {
        // Its server counts the idle time from its last response.
        idle.addFirst(entry);
      }
    }

    private long idleMillis() {
      return endedMillis.orElseGet(clock::millis) - entry.sinceMillis();
    }

    private void end() {
      endedMillis = OptionalLong.of(clock.millis());
      onEnded.run();
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
    this.idleLimit = new IdleLimit(loop, clock);
  }

  /** Returns the number of open connections, including those that are being opened. */
  int openCount() {
    return openByConnection.size() + connecting;
  }

  /**
   * Returns whether the pool has no connections and has opened none for so long that what it knows
   * of the server is no longer needed.
   */
  boolean isUnused() {
    return openCount() == 0 && clock.millis() - lastUsedMillis > REMEMBER_MILLIS;
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

  /** Takes the connection that was used last if it is not halfway to the server's idle limit. */
  private Optional<IdleConnection> takeLongLived() {
    long nowMillis = clock.millis();
    Optional<IdleConnection> latest =
        Optional.ofNullable(idle.peekLast())
            .filter(entry -> entry.connection().isUsable())
            .filter(entry -> !idleLimit.isHalfway(nowMillis - entry.sinceMillis()));
    latest.ifPresent(idle::remove);
    return latest;
  }

  /** Closes the oldest idle connections, all of which have carried the id of the next request. */
  private void closePassedOver() {
    while (idle.size() > MAX_PASSED_OVER) {
      idle.removeFirst().connection().abort();
    }
  }

  private void release(ServerConnection freed) {
    idleLimit.note(freed.idleLimitMillis());
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
   * Holds an idle connection that its server does not close soon, or opens one.
   *
   * @param onOutcome receives the connection, or empty if none can be opened
   */
  public void hold(Consumer<Optional<HeldConnection>> onOutcome) {
    Optional<IdleConnection> reused = takeLongLived();
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
    List<IdleConnection> expired =
        idle.stream()
            .filter(
                entry ->
                    nowMillis - entry.sinceMillis() > maxIdleMillis
                        || !entry.connection().isUsable())
            .toList();
    idle.removeAll(expired);
    expired.forEach(entry -> entry.connection().abort());
  }

  private void onClosed(ServerConnection closed) {
    openByConnection.remove(closed);
    idle.stream()
        .filter(entry -> entry.connection() == closed)
        .findAny()
        .ifPresent(
            entry -> {
              idle.remove(entry);
              onIdleConnectionEnded(entry);
            });
    held.stream()
        .filter(connection -> connection.entry.connection() == closed)
        .findAny()
        .ifPresent(
            connection -> {
              held.remove(connection);
              connection.end();
              onIdleConnectionEnded(connection.entry);
            });
  }

  private void onIdleConnectionEnded(IdleConnection ended) {
    List<ServerConnection> others =
        openByConnection.entrySet().stream()
            .filter(entry -> entry.getValue().channel().config().isAutoRead())
            .filter(entry -> entry.getValue().sinceMillis() < clock.millis() - MIN_OPEN_MILLIS)
            .map(Map.Entry::getKey)
            .toList();
    idleLimit.onIdleConnectionEnded(
        ended.sinceMillis(),
        ended.connection().hasEndOfInput(),
        () -> others.stream().anyMatch(openByConnection::containsKey));
  }

  private void connect(
      Consumer<ServerConnection> onIdle,
      Consumer<ServerConnection> onAcquired,
      Consumer<ConnectFailure> onFailure) {
    ResponseDecoder decoder = new ResponseDecoder();
    ServerConnection connection = new ServerConnection(idHeader, decoder, onIdle, events);
    connecting++;
    lastUsedMillis = clock.millis();
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
              connecting--;
              if (done.isSuccess()) {
                openByConnection.put(connection, new OpenChannel(done.channel(), clock.millis()));
                done.channel().closeFuture().addListener(closed -> onClosed(connection));
                onAcquired.accept(connection);
              } else {
                onFailure.accept(connectFailure(done.cause()));
              }
            });
  }
}
