import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the project's gateway processes and keeps the record of a scenario. */
final class Scenario implements AutoCloseable {
  private static final int MIN_PORT = 12_000;
  private static final int MAX_PORT = 30_000;
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int NOT_RUN = 2;
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  final StoreStandin store = new StoreStandin();
  private final long startNanos = System.nanoTime();
  private final Path folder = Files.createTempDirectory("nutmegseam-review");
  private final List<Process> processes = new ArrayList<>();
  private final PrintWriter record;

  /** A gateway process with its addresses. */
  record Gateway(Process process, int callerPort, int readyPort) {}

  Scenario(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    log("trouble: " + TROUBLE);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  synchronized void log(String text) {
    record.printf(Locale.ROOT, "%9.3f s  %s%n", millis() / 1e3, text);
    record.flush();
  }

  /** Starts a gateway with the command of the deploy file, from the root of the repository. */
  Gateway startGateway(String node) throws IOException {
    return startGateway(node, "dc-a", store.port());
  }

  Gateway startGateway(String node, String dataCentre, int storePort) throws IOException {
    int[] ports = freePorts(5);
    Path settings = folder.resolve(node + ".jsonc");
    Files.writeString(
        settings,
        """
        {
          "node": "%s", "dataCentre": "%s",
          "callerAddress": "127.0.0.1:%d", "readyAddress": "127.0.0.1:%d",
          "peerAddress": "127.0.0.1:%d", "metricsAddress": "127.0.0.1:%d",
          "peerRequestAddress": "127.0.0.1:%d", "storeAddress": "127.0.0.1:%d",
          "graceSeconds": 8, "orderQuietMillis": 3000, "retryRatio": 0.2, "retrySlack": 52,
          "retryWindowSeconds": 10, "loadWindowSeconds": 5,
          "processorShare": 0.75, "processorSpeed": 1
        }
        """
            .formatted(
                node, dataCentre, ports[0], ports[1], ports[2], ports[3], ports[4], storePort));
    ProcessBuilder builder = new ProcessBuilder(gatewayCommand());
    builder.environment().put("NUTMEGSEAM_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve(node + ".log").toFile());
    Process process = builder.start();
    processes.add(process);
    log("gateway " + node + " started");
    return new Gateway(process, ports[0], ports[1]);
  }

  Path logOf(String node) {
    return folder.resolve(node + ".log");
  }

  private static List<String> gatewayCommand() throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run\\s*=\\s*\"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    return List.of(run.group(1).split(" +"));
  }

  /**
   * Returns free ports below those that the system gives to outgoing connections, so that no
   * connection takes one before the gateway listens there.
   */
  private static int[] freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int i = 0; i < count; ) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      try {
        sockets.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        ports[i++] = port;
      } catch (BindException e) {
        // The port is taken; the next one is tried.
      }
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  /** Waits until a gateway says that it is ready; fails after 20 s. */
  void awaitReady(Gateway gateway) throws IOException {
    for (int i = 0; i < 200; i++) {
      if (isReady(gateway)) {
        return;
      }
      sleep(100);
    }
    throw new IOException("gateway not ready within 20 s");
  }

  boolean isReady(Gateway gateway) {
    try (Caller caller = new Caller(gateway.readyPort())) {
      return caller.call("GET", "/v1/ready", "", new byte[0]).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends SIGTERM. */
  void terminate(Gateway gateway) {
    log("SIGTERM to the gateway");
    gateway.process().destroy();
  }

  @Override
  public void close() {
    for (Process process : processes) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    record.flush();
    try {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.deleteIfExists(file);
        }
      }
      Files.deleteIfExists(folder);
    } catch (IOException e) {
      System.err.println("temporary folder: " + e);
    }
  }
}
