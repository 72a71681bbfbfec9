import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers leave one after the other. With trouble, the server has crashed seconds before and has
 * started again under its id, and the store carries out the last check-in of its earlier start 5.9 s
 * late.
 */
final class EarlierStartCase {
  private static final int SERVERS = 3;
  private static final int ROUNDS = 5;
  private static final long LATE_MILLIS = 5_900;
  private static final long CRASH_AFTER_MILLIS = 100;
  private static final long DOWN_MILLIS = 2_000;
  private static final long STABLE_MILLIS = 3_000;
  private static final long DRAIN_MILLIS = 2_000;
  private static final long LINGER_MILLIS = 4_000;
  private static final long PAUSE_MILLIS = 20;

  private final Stand stand;
  private final List<AppServer> servers = new CopyOnWriteArrayList<>();
  private final List<String> broken = new CopyOnWriteArrayList<>();
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final Map<String, Long> sentById = new ConcurrentHashMap<>();
  private final Map<String, Long> drainingMillisByServer = new ConcurrentHashMap<>();
  private volatile boolean ended;

  private EarlierStartCase(Stand stand) {
    this.stand = stand;
  }

  public static void main(String[] arguments) throws Exception {
    int status = 2;
    Stand stand = new Stand(Path.of(arguments[0]));
    try {
      status = new EarlierStartCase(stand).play(!"0".equals(System.getenv("TROUBLE")));
    } catch (IOException e) {
      stand.say("could not run: %s", e);
    } finally {
      stand.close();
    }
    System.exit(status);
  }

  private int play(boolean trouble) throws Exception {
    for (int i = 0; i < SERVERS; i++) {
      servers.add(new AppServer("i-app-" + i));
    }
    stand.store.put(
        "op",
        "config",
        Stand.config(3, List.of(Stand.route("look", "safe", 1_500, 2, "app")), List.of("app")));
    stand.beat(servers);
    Stand.Gateway gateway = stand.new Gateway("front-a-1", "z-a", stand.store.port(), "");
    gateway.start();
    gateway.awaitReady(20_000);
    Thread.sleep(STABLE_MILLIS + 1_000);
    for (int i = 0; i < 4; i++) {
      Stand.daemon(() -> look(gateway));
    }
    for (int round = 0; round < ROUNDS; round++) {
      AppServer server = new AppServer("i-leaving-" + round);
      stand.store.put("servers", server.id, server.entry(1));
      servers.add(server);
      Thread.sleep(3_000);
      if (trouble) {
        server = restart(server);
      }
      long stableFrom = stand.now() + STABLE_MILLIS - DOWN_MILLIS;
      Thread.sleep(Math.max(0, stableFrom + 200 - stand.now()));
      leave(server);
      Thread.sleep(DRAIN_MILLIS + LINGER_MILLIS + 500);
    }
    ended = true;
    stand.say(
        "requests answered %d; requests at a server over drainMs after it was confirmed as"
            + " draining: %d",
        answered.get(), broken.size());
    stand.say(broken.isEmpty() ? "held" : "broken");
    return broken.isEmpty() ? 0 : 1;
  }

  /** Lets a server crash just after a check-in that the store carries out late, and start again. */
  private AppServer restart(AppServer server) throws Exception {
    String checkIn = server.entry(7);
    stand.log("check-in of server %s, born %d, gets no answer", server.id, server.born);
    Stand.daemon(
        () -> {
          Thread.sleep(LATE_MILLIS);
          stand.store.put("servers", server.id, checkIn);
          stand.log("store carries out that check-in of server %s", server.id);
        });
    Thread.sleep(CRASH_AFTER_MILLIS);
    servers.remove(server);
    server.close();
    stand.log("server %s crashed", server.id);
    Thread.sleep(DOWN_MILLIS);
    AppServer next = new AppServer(server.id, server.port());
    synchronized (next) {
      stand.store.put("servers", next.id, next.entry(1));
      servers.add(next);
    }
    stand.log("server %s started again, born %d", next.id, next.born);
    return next;
  }

  /** Lets a server report that it is draining, and leave drainMs and a little later. */
  private void leave(AppServer server) {
    synchronized (server) {
      server.draining = true;
      stand.store.put("servers", server.id, server.entry(9));
      drainingMillisByServer.put(server.id, stand.now());
    }
    stand.log("server %s is draining, confirmed by the store", server.id);
    Stand.daemon(
        () -> {
          Thread.sleep(DRAIN_MILLIS + LINGER_MILLIS);
          synchronized (server) {
            server.unlisted = true;
            stand.store.remove("servers", server.id);
          }
          servers.remove(server);
          server.close();
          stand.log("server %s has left", server.id);
        });
  }

  private void look(Stand.Gateway gateway) throws Exception {
    while (!ended) {
      try (Stand.Connection connection = new Stand.Connection(gateway.callerPort)) {
        connection.socket.setSoTimeout(2_000);
        while (!ended) {
          String id = "look-" + ids.incrementAndGet();
          sentById.put(id, stand.now());
          connection.send(
              "GET /look/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\n\r\n"
                  .formatted(Stand.HOST, id));
          if (connection.readResponse().status == 200) {
            answered.incrementAndGet();
          }
          Thread.sleep(PAUSE_MILLIS);
        }
      } catch (IOException e) {
        Thread.sleep(200);
      }
    }
  }

  /** Runs each request for 20 ms. */
  private final class AppServer extends Stand.Server {
    private AppServer(String id) throws IOException {
      this(id, 0);
    }

    private AppServer(String id, int port) throws IOException {
      super(id, "app", port);
    }

    @Override
    void handle(Stand.Message request, InputStream in, Socket socket) throws Exception {
      Stand.readBody(in, request);
      String requestId = request.header("request-id");
      Long confirmed = draining ? drainingMillisByServer.get(id) : null;
      stand.log("server %s runs %s%s", id, requestId, draining ? " while draining" : "");
      if (confirmed != null && sentById.get(requestId) - confirmed > DRAIN_MILLIS) {
        broken.add(requestId);
        stand.log(
            "BROKEN: %s sent %d ms after the confirmation",
            requestId, sentById.get(requestId) - confirmed);
      }
      Thread.sleep(20);
      Stand.respond(
          socket.getOutputStream(),
          200,
          "Request-Id: " + requestId + "\r\nServer-Seal: seal\r\n"
              + (draining ? "Connection: close\r\n" : ""),
          "y".repeat(800).getBytes(StandardCharsets.UTF_8));
    }
  }
}
