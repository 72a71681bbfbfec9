package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.quota.ArrivalWindow;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;

/**
 * A backend server on loopback that takes any number of requests, whatever limit it names, and
 * records when they arrive.
 */
final class RecordingServer implements AutoCloseable {
  private static final long RUN_MILLIS = 10;
  private static final String HEAD =
      TestGateway.lines("HTTP/1.1 %s|id: %s|receipt: r|%sTransfer-Encoding: chunked|");
  private static final String BODY =
      TestGateway.lines("Content-Type: text/event-stream||f|") + "id: 1\ndata: a\n\n\r\n0\r\n\r\n";

  private final String id;
  private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
  private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
  private volatile Optional<Double> limitPerSecond = Optional.empty();
  private volatile Predicate<String> fails = head -> false;

  /**
   * A request that has arrived.
   *
   * @param id id of the request
   * @param atMillis when it arrived
   */
  record Arrival(String id, long atMillis) {}

  /**
   * Starts a server without limit.
   *
   * @param id id of the server
   */
  RecordingServer(String id) throws IOException {
    this.id = id;
    Thread acceptor = new Thread(this::accept, "recording-server-" + id);
    acceptor.setDaemon(true);
    acceptor.start();
  }

  /** Makes the server name a limit in its responses from now on. */
  void nameLimit(double perSecond) {
    limitPerSecond = Optional.of(perSecond);
  }

  /** Makes the server name no limit any more. */
  void endLimit() {
    limitPerSecond = Optional.empty();
  }

  /** Makes the server respond with an error to requests with certain heads. */
  void failRequests(Predicate<String> failing) {
    fails = failing;
  }

  /** Returns the server's entry. */
  ServerEntry entry() {
    return new ServerEntry(
        new Incarnation(id, 1),
        "s",
        "v1",
        "127.0.0.1",
        listener.getLocalPort(),
        "dc",
        8,
        false,
        new Inventory(0, false, Map.of(), Set.of(), Set.of()));
  }

  /** Returns the requests that have arrived. */
  List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  /** Returns the number of requests that arrived since a time and before another one. */
  long arrivals(long sinceMillis, long beforeMillis) {
    return arrivals.stream()
        .mapToLong(Arrival::atMillis)
        .filter(at -> at >= sinceMillis && at < beforeMillis)
        .count();
  }

  /** Returns the largest number of requests that arrived within 4 s, since a time. */
  long mostWithinWindow(long sinceMillis) {
    return ArrivalWindow.most(
        arrivals.stream().map(Arrival::atMillis).filter(at -> at >= sinceMillis).toList());
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        Thread worker = new Thread(() -> serve(socket), "recording-server-connection");
        worker.setDaemon(true);
        worker.start();
      }
    } catch (IOException e) {
      // The listener is closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String head = StubServer.readRequest(socket.getInputStream());
      while (!head.isEmpty()) {
        arrivals.add(new Arrival(StubServer.header(head, "id"), System.currentTimeMillis()));
        Thread.sleep(RUN_MILLIS);
        socket.getOutputStream().write(response(head).getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        head = StubServer.readRequest(socket.getInputStream());
      }
    } catch (IOException e) {
      // The node has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String response(String head) {
    String limit = limitPerSecond.map(perSecond -> "request-limit: " + perSecond).orElse("");
    String status = fails.test(head) ? "500 Failed" : "200 OK";
    return HEAD.formatted(
            status, StubServer.header(head, "id"), limit.isEmpty() ? "" : limit + "\r\n")
        + BODY;
  }
}
