import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Small payments on kept channels beside uploads of almost maxBodyBytes, at one gateway. With
 * trouble, there are 2.29 times as many uploads for six seconds.
 */
final class UploadBurstCase {
  private static final int UPLOAD_BYTES = 4_000_000;
  private static final int PART_BYTES = 65_536;
  private static final long PART_MILLIS = 50;
  private static final int USUAL_UPLOADS = 14;
  private static final int USUAL_PAYERS = 16;
  private static final int MORE_UPLOADS = 18;
  private static final int MORE_PAYERS = 0;
  private static final long BURST_FROM_MILLIS = 4_000;
  private static final long BURST_MILLIS = 6_000;
  private static final long LOAD_MILLIS = 16_000;
  private static final long PAY_TIMEOUT_MILLIS = 4_000;
  private static final long UPLOAD_TIMEOUT_MILLIS = 15_000;
  private static final long SLACK_MILLIS = 500;

  private final Stand stand;
  private final Stand.Gateway gateway;
  private final Set<String> run = ConcurrentHashMap.newKeySet();
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger uploadsAnswered = new AtomicInteger();
  private final List<String> late = new CopyOnWriteArrayList<>();
  private final List<String> tooLate = new CopyOnWriteArrayList<>();
  private final List<String> closed = new CopyOnWriteArrayList<>();
  private final AtomicInteger uploadsFailed = new AtomicInteger();

  private UploadBurstCase(Stand stand) throws IOException {
    this.stand = stand;
    this.gateway = stand.new Gateway("front-a-1", "z-a", stand.store.port(), "");
  }

  public static void main(String[] arguments) throws Exception {
    int status = 2;
    Stand stand = new Stand(Path.of(arguments[0]));
    try {
      status = new UploadBurstCase(stand).play(!"0".equals(System.getenv("TROUBLE")));
    } catch (IOException e) {
      stand.say("could not run: %s", e);
    } finally {
      stand.close();
    }
    System.exit(status);
  }

  private int play(boolean trouble) throws Exception {
    List<Stand.Server> servers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      servers.add(new AppServer("i-app-" + i));
    }
    stand.store.put(
        "op",
        "config",
        Stand.config(
            3,
            List.of(
                Stand.route("pay", "unsafe", PAY_TIMEOUT_MILLIS, 1, "app"),
                Stand.route("upload", "unsafe", UPLOAD_TIMEOUT_MILLIS, 1, "app")),
            List.of("app")));
    stand.beat(servers);
    gateway.start();
    gateway.awaitReady(20_000);
    Thread.sleep(1_000);
    stand.log("gateway ready; usual traffic begins");
    long start = stand.now();
    List<Thread> callers = new ArrayList<>();
    startCallers(callers, USUAL_UPLOADS, USUAL_PAYERS, start + LOAD_MILLIS);
    if (trouble) {
      Thread.sleep(BURST_FROM_MILLIS);
      stand.log("burst begins");
      startCallers(callers, MORE_UPLOADS, MORE_PAYERS, stand.now() + BURST_MILLIS);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    boolean held = (tooLate.size() < 8 || tooLate.size() * 2 <= late.size()) && closed.size() <= 3;
    stand.say(
        "payments answered %d; unanswered at timeoutMs %d, of these also 0.5 s later %d, of these"
            + " run by a server %d; run but channel closed without an answer %d;"
            + " uploads answered %d, not answered %d; gateway alive %s",
        answered.get(),
        late.size(),
        tooLate.size(),
        tooLate.stream().filter(run::contains).count(),
        closed.size(),
        uploadsAnswered.get(),
        uploadsFailed.get(),
        gateway.process.isAlive());
    stand.say(held && gateway.process.isAlive() ? "held" : "broken");
    return held && gateway.process.isAlive() ? 0 : 1;
  }

  private void startCallers(List<Thread> callers, int uploads, int payers, long untilMillis) {
    for (int i = 0; i < uploads; i++) {
      callers.add(Stand.daemon(() -> upload(untilMillis)));
    }
    for (int i = 0; i < payers; i++) {
      callers.add(Stand.daemon(() -> pay(untilMillis)));
    }
  }

  /** Uploads one body after the other, at 1.3 MB/s. */
  private void upload(long untilMillis) throws Exception {
    byte[] part = new byte[PART_BYTES];
    while (stand.now() < untilMillis) {
      String id = "upload-" + ids.incrementAndGet();
      try (Stand.Connection connection = new Stand.Connection(gateway.callerPort)) {
        connection.socket.setSoTimeout((int) (UPLOAD_TIMEOUT_MILLIS + SLACK_MILLIS));
        connection.send(head("upload", id, UPLOAD_TIMEOUT_MILLIS, UPLOAD_BYTES));
        for (int sent = 0; sent < UPLOAD_BYTES; sent += PART_BYTES) {
          long before = stand.now();
          connection.out.write(part, 0, Math.min(PART_BYTES, UPLOAD_BYTES - sent));
          Thread.sleep(Math.max(0, PART_MILLIS - (stand.now() - before)));
        }
        int status = connection.readResponse().status;
        stand.log("%s answered %d", id, status);
        uploadsAnswered.incrementAndGet();
      } catch (IOException e) {
        stand.log("%s not answered: %s", id, e);
        uploadsFailed.incrementAndGet();
      }
    }
  }

  /** Sends five payments a second on a kept channel. */
  private void pay(long untilMillis) throws Exception {
    while (stand.now() < untilMillis) {
      try (Stand.Connection connection = new Stand.Connection(gateway.callerPort)) {
        while (stand.now() < untilMillis && payOnce(connection)) {
          Thread.sleep(200);
        }
      } catch (IOException e) {
        stand.log("a payer could not connect: %s", e);
        Thread.sleep(200);
      }
    }
  }

  /** Returns whether the channel can be used again. */
  private boolean payOnce(Stand.Connection connection) throws Exception {
    String id = "pay-" + ids.incrementAndGet();
    connection.socket.setSoTimeout((int) PAY_TIMEOUT_MILLIS);
    connection.send(head("pay", id, PAY_TIMEOUT_MILLIS, 5) + "hello");
    try {
      int status = connection.readResponse().status;
      stand.log("%s answered %d", id, status);
      answered.incrementAndGet();
      return status == 200;
    } catch (java.net.SocketTimeoutException e) {
      late.add(id);
      connection.socket.setSoTimeout((int) SLACK_MILLIS);
      try {
        stand.log("%s answered late %d", id, connection.readResponse().status);
      } catch (IOException later) {
        stand.log("%s NOT ANSWERED at timeoutMs + 0.5 s, run by a server: %s", id, run.contains(id));
        tooLate.add(id);
      }
    } catch (IOException e) {
      Thread.sleep(500);
      stand.log("%s channel closed without an answer (%s), run: %s", id, e, run.contains(id));
      if (run.contains(id)) {
        closed.add(id);
      }
    }
    return false;
  }

  private static String head(String path, String id, long millis, int bytes) {
    return "POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
        .formatted(path, Stand.HOST, id, millis, bytes);
  }

  /** Runs each request for 85 ms. */
  private final class AppServer extends Stand.Server {
    private AppServer(String id) throws IOException {
      super(id, "app");
    }

    @Override
    void handle(Stand.Message request, InputStream in, Socket socket) throws Exception {
      Stand.readBody(in, request);
      String requestId = request.header("request-id");
      run.add(requestId);
      stand.log("server %s runs %s", id, requestId);
      Thread.sleep(85);
      Stand.respond(
          socket.getOutputStream(),
          200,
          "Request-Id: " + requestId + "\r\nServer-Seal: seal\r\n",
          "y".repeat(800).getBytes(StandardCharsets.UTF_8));
    }
  }
}
