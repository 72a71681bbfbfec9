package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * Backend servers on loopback, each of which crashes when it begins to run a request of a certain
 * kind. A crashed server refuses connections, its entry lapses, and it starts again at its address
 * under another id.
 */
final class CrashingServers implements AutoCloseable {
  /** Time from the arrival of a request to the first byte of the response, or to the crash. */
  private static final long RUN_MILLIS = 20;

  private static final String STREAM =
      TestGateway.lines(
          "HTTP/1.1 200 OK|id: %s|receipt: r|Content-Type: text/event-stream|Transfer-Encoding: chunked||");
  private static final String EVENT = "f\r\nid: 1\ndata: a\n\n\r\n";
  private static final String END = "0\r\n\r\n";

  private final Predicate<String> crashesOn;
  private final Timing timing;
  private final List<Server> servers = new CopyOnWriteArrayList<>();
  private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
  private final List<Long> crashMillis = new CopyOnWriteArrayList<>();
  private final AtomicInteger lastId = new AtomicInteger();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private volatile TestCluster cluster;
  private volatile Predicate<String> crashesOnNewVersion;
  private volatile boolean closed;

  /**
   * When a crash shows in the store.
   *
   * @param lapseMillis time from a crash until the server's entry is removed
   * @param restartMillis time from a crash until the server has started again
   */
  record Timing(long lapseMillis, long restartMillis) {}

  /** A request that has reached a server. */
  record Arrival(String head, long atMillis) {}

  /**
   * Starts servers.
   *
   * @param count number of servers
   * @param timing when a crash shows in the store
   * @param crashesOn whether a request with a head crashes the server that runs it
   */
  CrashingServers(int count, Timing timing, Predicate<String> crashesOn) throws IOException {
    this.timing = timing;
    this.crashesOn = crashesOn;
    for (int i = 0; i < count; i++) {
      Server server = new Server("v1");
      server.start();
      servers.add(server);
    }
  }

  /**
   * Adds a server of the software version v2.
   *
   * @param crashesOnV2 whether a request with a head crashes a server of that version
   */
  void addServerOfNewVersion(Predicate<String> crashesOnV2) throws IOException {
    crashesOnNewVersion = crashesOnV2;
    Server server = new Server("v2");
    server.start();
    servers.add(server);
    cluster.putEntry(server.entry());
  }

  /** Returns the entries of the servers. */
  List<ServerEntry> entries() {
    return servers.stream().map(Server::entry).toList();
  }

  /** Sets the cluster whose store shows the servers. */
  void setCluster(TestCluster next) {
    cluster = next;
  }

  /** Returns the requests that have reached servers. */
  List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  /** Returns the times of the crashes. */
  List<Long> crashMillis() {
    return List.copyOf(crashMillis);
  }

  /** Crashes a server regardless of what it runs. */
  void crash(int index) {
    servers.get(index).crash();
  }

  /** Resets the connections of a server, which goes on. */
  void resetConnections(int index) {
    servers.get(index).closeConnections();
  }

  /** Stops a server as planned: its entry is draining, then it closes its connections. */
  void drainAndStop(int index, long drainMillis) {
    Server server = servers.get(index);
    cluster.putEntry(server.entry().asDraining());
    timer.schedule(server::stop, drainMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    closed = true;
    timer.shutdownNow();
    servers.forEach(Server::stop);
  }

  private final class Server {
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final String version;
    private ServerSocket listener;
    private String id;
    private int port;

    private Server(String version) {
      this.version = version;
    }

    private boolean crashesOn(String head) {
      return (version.equals("v1") ? crashesOn : crashesOnNewVersion).test(head);
    }

    private synchronized void start() throws IOException {
      id = "i" + lastId.incrementAndGet();
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
      port = listener.getLocalPort();
      ServerSocket accepting = listener;
      Thread acceptor = new Thread(() -> accept(accepting), "crashing-server-" + id);
      acceptor.setDaemon(true);
      acceptor.start();
    }

    private synchronized ServerEntry entry() {
      return new ServerEntry(
          new Incarnation(id, lastId.get()),
          "s",
          version,
          "127.0.0.1",
          port,
          "dc",
          8,
          false,
          new Inventory(0, false, Map.of(), Set.of(), Set.of()));
    }

    private void accept(ServerSocket accepting) {
      try {
        while (true) {
          Socket socket = accepting.accept();
          connections.add(socket);
          Thread worker = new Thread(() -> serve(socket), "crashing-server-connection");
          worker.setDaemon(true);
          worker.start();
        }
      } catch (IOException e) {
        // The listener is closed: the server has crashed or stopped.
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String head = StubServer.readRequest(in);
        while (!head.isEmpty()) {
          arrivals.add(new Arrival(head, System.currentTimeMillis()));
          Thread.sleep(RUN_MILLIS);
          String response = STREAM.formatted(StubServer.header(head, "id"));
          if (crashesOn(head)) {
            write(socket, response);
            crash();
            return;
          }
          write(socket, response + EVENT + END);
          head = StubServer.readRequest(in);
        }
      } catch (IOException e) {
        // The connection was closed by the caller or by a crash.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        connections.remove(socket);
      }
    }

    private void crash() {
      String crashedId = id;
      crashMillis.add(System.currentTimeMillis());
      stop();
      if (!closed) {
        timer.schedule(
            () -> cluster.removeEntry(crashedId), timing.lapseMillis(), TimeUnit.MILLISECONDS);
        timer.schedule(this::restart, timing.restartMillis(), TimeUnit.MILLISECONDS);
      }
    }

    private void restart() {
      try {
        start();
        cluster.putEntry(entry());
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    private synchronized void stop() {
      try {
        listener.close();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      closeConnections();
    }

    private void closeConnections() {
      for (Socket socket : connections) {
        try {
          socket.setSoLinger(true, 0);
          socket.close();
        } catch (IOException e) {
          // The connection is closed already.
        }
      }
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }
}
