package io.nutmegseam.node.http;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.netty.NettyServer;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.node.caller.RequestErrors;
import io.nutmegseam.node.settings.HostPort;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/** An HTTP server with its own port and worker threads. */
public final class WebServer implements AutoCloseable {
  private static final int IO_THREADS = 2;

  /** Bytes read beyond the body limit, so that the error message can state the actual size. */
  private static final int BODY_SLACK_BYTES = 64 << 10;

  static {
    // NodeDaemon stops the servers itself, after the requests in flight have finished.
    System.setProperty("jooby.useShutdownHook", "false");
  }

  private final NettyServer server;
  private final ExecutorService workers;

  /**
   * Starts a server.
   *
   * @param address the address to listen on
   * @param workerThreads number of threads that run handlers
   * @param bodyBytes largest request body, in bytes
   * @param routes registers the routes of the server
   */
  public WebServer(HostPort address, int workerThreads, int bodyBytes, Consumer<Jooby> routes) {
    this.workers = Executors.newFixedThreadPool(workerThreads, WebServer::newWorkerThread);
    Jooby app = new Jooby();
    app.setExecutionMode(ExecutionMode.WORKER);
    app.setStartupSummary(List.of(StartupSummary.NONE));
    app.error(
        (context, cause, code) -> {
          ErrorKind kind = errorKind(code.value());
          RequestException error = new RequestException(kind, String.valueOf(cause.getMessage()));
          context.setResponseCode(kind.httpStatus());
          context.setResponseType("application/json");
          context.send(RequestErrors.toJson(error));
        });
    routes.accept(app);
    this.server = new NettyServer(workers);
    ServerOptions options =
        new ServerOptions()
            .setPort(address.port())
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(workerThreads)
            .setDefaultHeaders(false)
            .setMaxRequestSize(bodyBytes + BODY_SLACK_BYTES);
    options.setHost(address.host());
    server.setOptions(options);
    server.start(app);
  }

  @Override
  public void close() {
    server.stop();
    workers.shutdownNow();
  }

  private static ErrorKind errorKind(int status) {
    return switch (status) {
      case 404, 405 -> ErrorKind.NOT_FOUND;
      case 413 -> ErrorKind.BODY_TOO_LARGE;
      case 400, 415 -> ErrorKind.BAD_REQUEST;
      default -> ErrorKind.INTERNAL;
    };
  }

  private static Thread newWorkerThread(Runnable task) {
    Thread thread = new Thread(task, "traffic");
    thread.setDaemon(true);
    return thread;
  }
}
