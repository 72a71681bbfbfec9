import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Gateway processes, started with the command of the deploy file. */
final class Gateways implements AutoCloseable {
  private static final long READY_MILLIS = 30_000;

  private final Path root;
  private final Path folder;
  private final int storePort;
  private final List<Gateway> gateways = new ArrayList<>();
  private final List<Socket> reserved = new ArrayList<>();

  /** A gateway and its addresses. */
  static final class Gateway {
    final String name;
    final int callerPort;
    final int readyPort;
    private final ProcessBuilder builder;
    private Process process;

    private Gateway(String name, int callerPort, int readyPort, ProcessBuilder builder) {
      this.name = name;
      this.callerPort = callerPort;
      this.readyPort = readyPort;
      this.builder = builder;
    }

    void start() throws IOException {
      process = builder.start();
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean awaitExit(long seconds) throws InterruptedException {
      return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    boolean isReady() {
      try {
        URI ready = URI.create("http://127.0.0.1:" + readyPort + "/v1/ready");
        HttpURLConnection connection = (HttpURLConnection) ready.toURL().openConnection();
        connection.setConnectTimeout(500);
        connection.setReadTimeout(500);
        return connection.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }
  }

  Gateways(Path root, Path folder, int storePort) {
    this.root = root;
    this.folder = folder;
    this.storePort = storePort;
  }

  List<Gateway> all() {
    return gateways;
  }

  /** Starts a gateway in a data centre, with settings like those of the platform. */
  Gateway start(String name, String dataCentre) throws IOException {
    int callerPort = freePort();
    int readyPort = freePort();
    int peerPort = freePort();
    Path settings = folder.resolve(name + ".jsonc");
    Files.writeString(
        settings,
        String.format(
            """
            {"node": "%s", "dataCentre": "%s", "callerAddress": "127.0.0.1:%d",
             "readyAddress": "127.0.0.1:%d", "peerAddress": "127.0.0.1:%d",
             "metricsAddress": "127.0.0.1:%d", "storeAddress": "127.0.0.1:%d", "graceSeconds": 8,
             "orderQuietMillis": 3000, "retryRatio": 0.2, "retrySlack": 52,
             "retryWindowSeconds": 10, "loadWindowSeconds": 5, "processorShare": 0.75,
             "processorSpeed": 1}
            """,
            name, dataCentre, callerPort, readyPort, peerPort, freePort(), storePort));
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no command of a gateway");
    }
    ProcessBuilder builder =
        new ProcessBuilder(run.group(1).split(" +")).directory(root.toFile());
    builder.environment().put("NUTMEGSEAM_CONFIG", settings.toString());
    File log = folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    Gateway gateway = new Gateway(name, callerPort, readyPort, builder);
    gateway.start();
    gateways.add(gateway);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> gateway.process.destroyForcibly()));
    return gateway;
  }

  boolean awaitReady() throws InterruptedException {
    long untilNanos = System.nanoTime() + READY_MILLIS * 1_000_000;
    for (Gateway gateway : gateways) {
      while (!gateway.isReady()) {
        if (System.nanoTime() > untilNanos) {
          return false;
        }
        Thread.sleep(100);
      }
    }
    return true;
  }

  /** Reserves a port, and the next one, by sockets that do not listen. */
  private int freePort() throws IOException {
    while (true) {
      try {
        int port = bind(0);
        bind(port + 1);
        return port;
      } catch (IOException | IllegalArgumentException e) {
        // The next port is taken; another pair is tried.
      }
    }
  }

  private int bind(int port) throws IOException {
    Socket socket = new Socket();
    reserved.add(socket);
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    return socket.getLocalPort();
  }

  @Override
  public void close() throws InterruptedException {
    for (Gateway gateway : gateways) {
      gateway.process.destroyForcibly();
      gateway.process.waitFor(10, TimeUnit.SECONDS);
    }
  }
}
